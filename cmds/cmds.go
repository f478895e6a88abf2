// Package cmds implements the subcommands of currantpier: argument parsing, output and exit codes.
package cmds

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/currantpier/currantpier/config"
	"github.com/currantpier/currantpier/kinds"
)

// The exit codes of currantpier.
const (
	ExitOK = 0
	// ExitFailed: the operation failed.
	ExitFailed = 1
	// ExitUsage: the arguments, a settings file or a list are not valid; nothing was changed.
	ExitUsage = 2
	// ExitConflict: another change came first; nothing was changed.
	ExitConflict = 3
	// ExitUnknown: the change may or may not have been made; "status" shows the version in force.
	ExitUnknown = 4
	// ExitUnreachable: the daemon or the store could not be reached; nothing was changed.
	ExitUnreachable = 5
)

// streams are the writers for standard output and standard error.
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
			panic(err) // an invalid entry in commands
		}
	}
	_, err := parser.ParseArgs(args)
	return reportError(s, err)
}

// command is a subcommand with its help texts. run is a flags.Commander whose tagged fields are the flags.
type command struct {
	name, short, long string
	run               any
}

// reportError prints err or the requested help text and returns the exit code.
func reportError(s streams, err error) int {
	if err == nil {
		return ExitOK
	}
	var flagErr *flags.Error
	if errors.As(err, &flagErr) {
		if flagErr.Type == flags.ErrHelp {
			_, _ = io.WriteString(s.out, flagErr.Message+"\n")
			return ExitOK
		}
		_, _ = io.WriteString(s.err, "currantpier: "+flagErr.Message+"\n")
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

// Exit calls Main with the arguments of the process and exits with its result.
func Exit() {
	os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
}
