package cmds

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/stubs"
)

// standInCommand runs a stand-in of the platform or of one upstream target.
type standInCommand struct {
	s           streams
	Listen      string        `long:"listen" default:"127.0.0.1:0" value-name:"ADDRESS"`
	Lag         time.Duration `long:"lag" default:"2s" description:"lag of the VM list, or of the load report"`
	Name        string        `long:"name" default:"target-1" description:"name of the target"`
	Slots       int32         `long:"slots" default:"4"`
	ServiceTime time.Duration `long:"time" default:"10ms" description:"time that a request takes"`
	Args        struct {
		Kind string `positional-arg-name:"KIND" description:"platform or upstream"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *standInCommand) Execute([]string) error {
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	fmt.Fprintf(c.s.out, "listening %s\n", ln.Addr())
	switch c.Args.Kind {
	case "upstream":
		u := stubs.NewUpstream(ident.Target(c.Name), time.Now, stubs.WithSlots(ident.Slots(c.Slots)),
			stubs.WithService(c.ServiceTime), stubs.WithReportLag(c.Lag))
		return ignoreCanceled(ctx, u.Serve(ctx, ln))
	case "platform":
		return c.servePlatform(ctx, ln)
	}
	return kinds.Errorf(kinds.BadRequest, "KIND: %q is neither platform nor upstream", c.Args.Kind)
}

// servePlatform serves a platform stand-in on ln until ctx ends.
func (c *standInCommand) servePlatform(ctx context.Context, ln net.Listener) error {
	server := &http.Server{Handler: stubs.NewPlatform(time.Now, c.Lag), ReadHeaderTimeout: 5 * time.Second}
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	_ = server.Close()
	<-done
	return nil
}

// ignoreCanceled returns nil once ctx has ended, otherwise err.
func ignoreCanceled(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
