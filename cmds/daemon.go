package cmds

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/currantpier/currantpier/config"
	"github.com/currantpier/currantpier/entry"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/local"
	"github.com/currantpier/currantpier/steer"
	"github.com/currantpier/currantpier/store"
	"github.com/currantpier/currantpier/stubs/plat"
)

// settingsFlag is the flag shared by the commands that run a daemon.
type settingsFlag struct {
	Settings string `long:"settings" short:"s" required:"true" value-name:"FILE" description:"settings file of this VM"`
}

// listen opens a TCP listener on a.
func listen(a netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", a.String())
	return ln, errors.Wrapf(err, "listen on %s", a)
}

func newStore(cfg *config.Settings) *store.Client {
	return store.New("http://"+cfg.Store.Address.String(), store.WithTimeout(cfg.Store.Timeout))
}

type entryCommand struct {
	s streams
	settingsFlag
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	cfg, err := config.Load(c.Settings)
	if err != nil {
		return err
	}
	callers, err := listen(cfg.Entry.Listen)
	if err != nil {
		return err
	}
	control, err := listen(cfg.Entry.ControlListen)
	if err != nil {
		return err
	}
	d, err := entry.New(cfg, callers, control, newStore(cfg), entry.WithLogger(newLogger(c.s.err, cfg.Log.Level)))
	if err != nil {
		return err
	}
	return c.s.runDaemon(d.Run, d.Stop, d.Kernel())
}

type steerCommand struct {
	s streams
	settingsFlag
}

// Execute implements flags.Commander.
func (c *steerCommand) Execute([]string) error {
	cfg, err := config.Load(c.Settings)
	if err != nil {
		return err
	}
	control, err := listen(cfg.Steer.ControlListen)
	if err != nil {
		return err
	}
	d, err := steer.New(cfg, control, newStore(cfg), steer.WithLogger(newLogger(c.s.err, cfg.Log.Level)))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	return c.s.runDaemon(func(context.Context) error { return d.Run(ctx) }, cancel, d.Kernel())
}

// runDaemon calls run and waits until it returns. Each SIGTERM or SIGINT calls stop: at the entry daemon the first call
// begins a graceful shutdown and a second one ends the process at once. SIGUSR1 writes a dump of k to standard error.
func (s streams) runDaemon(run func(context.Context) error, stop func(), k *kernel.Kernel) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	defer signal.Stop(signals)
	// Without it, a write to standard output or standard error ends the process once nothing reads the log any more.
	signal.Ignore(syscall.SIGPIPE)
	return s.serveSignals(signals, run, stop, k)
}

// serveSignals is runDaemon with the given source of signals.
func (s streams) serveSignals(signals <-chan os.Signal, run func(context.Context) error, stop func(), k *kernel.Kernel) error {
	done := make(chan error, 1)
	go func() { done <- run(context.Background()) }()
	for {
		select {
		case err := <-done:
			return err
		case sig := <-signals:
			if sig != syscall.SIGUSR1 {
				stop()
				continue
			}
			kernel.Guard(newLogger(s.err, config.Info), "dump", func() {
				if err := k.WriteDump(s.err, time.Now()); err != nil {
					fmt.Fprintf(s.err, "currantpier: dump: %v\n", err)
				}
			})
		}
	}
}

type localCommand struct {
	s            streams
	Port         int           `long:"port" default:"7400" value-name:"N" description:"caller port of the first VM; 0 picks one"`
	VMsPerDomain int           `long:"vms-per-failure-domain" default:"2" value-name:"N" description:"entry VMs in each failure domain"`
	Duration     time.Duration `long:"for" value-name:"TIME" description:"end after this time, for example 30s; by default at a signal"`
	Verbose      bool          `long:"verbose" short:"v" description:"log the events of all daemons"`
	// OnPlatform runs the daemon of cmd/pier instead of entry and steer.
	OnPlatform bool `long:"platform" description:"run as on the users' platform, with stand-ins of its store and targets"`
}

// Execute implements flags.Commander.
func (c *localCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Duration)
		defer cancel()
	}
	d := local.Kalnins()
	d.VMsPerDomain = c.VMsPerDomain
	if c.OnPlatform {
		return c.runPlatform(ctx, d)
	}
	l := log.NewNopLogger()
	if c.Verbose {
		l = newLogger(c.s.err, config.Info)
	}
	cluster, err := local.New(d, c.Port, l)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.s.out, "starting %d entry VMs and %d targets\n", len(cluster.Addresses), len(cluster.Upstreams))
	done := make(chan error, 1)
	go func() { done <- cluster.Run(ctx) }()
	if err := cluster.AcceptInitial(ctx); err != nil {
		return err
	}
	if err := awaitReady(ctx, cluster); err != nil {
		return err
	}
	c.printHints(cluster)
	err = <-done
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// runPlatform runs the deployment with the daemon of cmd/pier and stand-ins for the platform's store and targets.
func (c *localCommand) runPlatform(ctx context.Context, d local.Deployment) error {
	w := io.Discard
	if c.Verbose {
		w = c.s.err
	}
	cluster, err := local.NewPlatform(d, c.Port, w)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.s.out, "starting %d VMs and %d targets\n", len(cluster.VMs), len(cluster.Platform.Targets))
	done := make(chan error, 1)
	go func() { done <- cluster.Run(ctx) }()
	for cluster.Ready() < len(cluster.VMs) {
		select {
		case err := <-done:
			return err
		case <-time.After(readyPollInterval):
		}
	}
	c.printPlatformHints(cluster)
	err = <-done
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// printPlatformHints prints commands to try against a platform cluster.
func (c *localCommand) printPlatformHints(cluster *local.PlatformCluster) {
	a := cluster.VMs[0]
	fmt.Fprintf(c.s.out, `The Kalniņš set-up runs on loopback as on the users' platform: %d VMs, %d targets. Try next:

  %s
  %s
  %s
  curl -s http://%s/metrics
  go run ./cmd/currantpier dump --control %s state

End with Ctrl-C.
`, len(cluster.VMs), len(cluster.Platform.Targets),
		plat.LookupCommand(a.Lookups, local.ShopHost, string(a.Place.Region), string(a.Place.Domain)),
		plat.TryCommand("GET", a.Callers, local.ShopHost, "/workshop/look/layout/7", "look-1", "7"),
		plat.TryCommand("POST", a.Callers, local.ShopHost, "/workshop/order/frames", "order-1", "7"), a.Metrics, a.Metrics)
}

// printHints prints commands to try against a cluster.
func (c *localCommand) printHints(cluster *local.Cluster) {
	a, b := cluster.Addresses[0], cluster.Addresses[len(cluster.Addresses)-1]
	fmt.Fprintf(c.s.out, `The Kalniņš set-up runs on loopback: %d entry VMs, %d targets. Try next:

  curl -s 'http://%s/v1/lookup?service=workshop'
  curl -si -H 'Currantpier-Customer: bench-1' -H 'Currantpier-Kind: idempotent' http://%s/v1/request/workshop/layout/7
  TICKET=$(curl -s 'http://%s/v1/lookup?service=workshop' | sed 's/.*"ticket":"\([^"]*\)".*/\1/')
  curl -si -X POST -H 'Currantpier-Customer: bench-1' -H 'Currantpier-Kind: order' \
    -H "Currantpier-Request-Id: $TICKET.frame-1" http://%s/v1/request/workshop/frames
  go run ./cmd/currantpier status --steer %s
  go run ./cmd/currantpier drain --steer %s target workshop-riga-a-1
  go run ./cmd/currantpier dump --control %s

Repeat the order through another VM, for example %s: it answers the same and runs once. End with Ctrl-C.
`, len(cluster.Addresses), len(cluster.Upstreams), a.Callers, a.Callers, a.Callers, a.Callers, a.Steer, a.Steer,
		a.Control, b.Callers)
}

// readyPollInterval is the interval of readiness checks during the start of a local deployment.
const readyPollInterval = 50 * time.Millisecond

// awaitReady waits until every entry daemon is ready for callers. If ctx ends first, it returns why one is not.
func awaitReady(ctx context.Context, cluster *local.Cluster) error {
	for _, a := range cluster.Addresses {
		e, _ := cluster.Entry(ident.VM(a.VM))
		for e.NotReady() != "" {
			select {
			case <-ctx.Done():
				return errors.Newf("%s: %s", a.VM, e.NotReady())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}
