package cmds

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/trail"
)

// explainCommand prints the history of one request from log files.
type explainCommand struct {
	s    streams
	in   io.Reader
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes" description:"the request's attempt id"`
		Files []string `positional-arg-name:"FILE" description:"log files of the VMs; standard input without any"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander. It returns a NotFound error if no line has the request's id.
func (e *explainCommand) Execute([]string) error {
	lines, err := e.read()
	if err != nil {
		return err
	}
	found, err := trail.Explain(e.s.out, lines, e.Args.ID)
	if err == nil && !found {
		err = kinds.Errorf(kinds.NotFound, "no log line names request %q; served requests have none", e.Args.ID)
	}
	return err
}

// read decodes the log lines of all files, or of e.in if there are none.
func (e *explainCommand) read() ([]trail.Line, error) {
	if len(e.Args.Files) == 0 {
		return trail.Read(e.in)
	}
	var all []trail.Line
	for _, name := range e.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		lines, err := trail.Read(f)
		_ = f.Close() // opened read-only, so no data can be lost
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, lines...)
	}
	return all, nil
}
