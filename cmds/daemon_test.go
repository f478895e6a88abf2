package cmds

import (
	"context"
	"io"
	"math"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/currantpier/currantpier/kernel"
)

// dumpedService has a state that can't be encoded, and one that panics at the second dump.
type dumpedService struct{ dumps chan int }

func (d *dumpedService) Name() string                  { return "service" }
func (d *dumpedService) Run(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
func (d *dumpedService) Dump(time.Time) any {
	d.dumps <- 1
	if len(d.dumps) > 1 {
		panic("an unexpected value")
	}
	return math.NaN()
}

// An operator asks a daemon for a dump. Guards against a state that can't be dumped, or a standard error that can't be
// written, and ends the process.
func TestFailedDumpDoesNotEndDaemon(t *testing.T) {
	k := kernel.New()
	if err := k.Register(&dumpedService{make(chan int, 8)}); err != nil {
		t.Fatal(err)
	}
	r, w := io.Pipe()
	_ = r.Close()
	for name, errOut := range map[string]io.Writer{"open": io.Discard, "closed": w} {
		signals := make(chan os.Signal)
		stopped := make(chan struct{})
		ended := make(chan error, 1)
		go func() {
			run := func(context.Context) error { <-stopped; return nil }
			ended <- streams{io.Discard, errOut}.serveSignals(signals, run, func() { close(stopped) }, k)
		}()
		for _, sig := range []os.Signal{syscall.SIGUSR1, syscall.SIGUSR1, syscall.SIGTERM} {
			select {
			case signals <- sig:
			case err := <-ended:
				t.Fatalf("standard error %s: the daemon ended after a dump: %v", name, err)
			}
		}
		if err := <-ended; err != nil {
			t.Errorf("standard error %s: %v", name, err)
		}
	}
}

// childVariable is set in the environment of a child process that runs a daemon whose standard error nobody reads.
const childVariable = "CURRANTPIER_TEST_CHILD"

// Guards against a daemon that ends because what reads its log has ended: a write to a broken pipe on standard output or
// standard error ends a process by SIGPIPE unless it ignores the signal.
func TestDaemonOutlivesLogReader(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		run := func(context.Context) error {
			_, err := io.WriteString(os.Stderr, "a line of the log\n")
			if err == nil {
				return io.ErrNoProgress // the pipe was not closed
			}
			return nil
		}
		if err := (streams{os.Stdout, os.Stderr}).runDaemon(run, func() {}, kernel.New()); err != nil {
			os.Exit(ExitFailed)
		}
		os.Exit(ExitOK)
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Close()
	c := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	c.Env = append(os.Environ(), childVariable+"=1")
	c.Stderr = w
	if err := c.Run(); err != nil {
		t.Errorf("the daemon ended: %v", err)
	}
	_ = w.Close()
}
