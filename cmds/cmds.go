// Package cmds holds the sub-commands of the program. Each parses its arguments, calls a package and prints.
package cmds

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/currantpier/currantpier/config"
	"github.com/currantpier/currantpier/kinds"
)

// The exit codes of the program.
const (
	ExitOK = 0
	// ExitFailed: the operation failed.
	ExitFailed = 1
	// ExitUsage: the arguments, a settings file or a list are not valid; nothing was changed.
	ExitUsage = 2
	// ExitConflict: another change came first; nothing was changed.
	ExitConflict = 3
	// ExitUnknown: the change may have been made; see "status".
	ExitUnknown = 4
	// ExitUnreachable: the daemon or the store could not be reached; nothing was changed.
	ExitUnreachable = 5
)

// streams are where commands write.
type streams struct {
	out, err io.Writer
}

// Main runs the program with the given arguments and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	s := streams{out, errOut}
	parser := flags.NewNamedParser("currantpier", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "currantpier steers requests from customers to upstreams across regions and failure domains. " +
		"Start with \"currantpier local\"."
	for _, c := range commands(s) {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.run); err != nil {
			panic(err) // a mistake in the table of commands
		}
	}
	_, err := parser.ParseArgs(args)
	return report(s, err)
}

type command struct {
	name, short, long string
	run               any
}

func report(s streams, err error) int {
	if err == nil {
		return ExitOK
	}
	var fe *flags.Error
	if errors.As(err, &fe) {
		if fe.Type == flags.ErrHelp {
			_, _ = io.WriteString(s.out, fe.Message+"\n")
			return ExitOK
		}
		_, _ = io.WriteString(s.err, "currantpier: "+fe.Message+"\n")
		return ExitUsage
	}
	_, _ = io.WriteString(s.err, "currantpier: "+err.Error()+"\n")
	return exitCode(err)
}

func exitCode(err error) int {
	var problems *config.Problems
	if errors.As(err, &problems) {
		return ExitUsage
	}
	switch kinds.Of(err) {
	case kinds.BadRequest, kinds.NotFound:
		return ExitUsage
	case kinds.Conflict:
		return ExitConflict
	case kinds.StoreUnknown:
		return ExitUnknown
	case kinds.StoreDown:
		return ExitUnreachable
	}
	return ExitFailed
}

// Exit runs the program with the arguments of the process and ends it.
func Exit() {
	os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
}
