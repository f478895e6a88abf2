package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/config"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/steer"
	"github.com/currantpier/currantpier/wire"
)

// callTimeout bounds one call of a command. It is above the time in which a steer daemon resolves a lost answer.
const callTimeout = 15 * time.Second

// operator is the part that the commands of operators share.
type operator struct {
	s     streams
	Steer string `long:"steer" required:"true" value-name:"ADDRESS" description:"control port of any steer daemon, IP:port"`
	JSON  bool   `long:"json" description:"print JSON"`
}

func (o *operator) peer() wire.Peer {
	return wire.NewPeerProtobufClient("http://"+o.Steer, &http.Client{Timeout: callTimeout})
}

// current returns the configuration that the steer daemon has in force.
func (o *operator) current(ctx context.Context) (lists.Config, error) {
	doc, err := o.peer().Fetch(ctx, &wire.FetchRequest{Kind: wire.DocumentKind_DOCUMENT_KIND_CONFIG})
	if err != nil {
		return lists.Config{}, node.ErrorFromTwirp(err, kinds.StoreDown)
	}
	if doc.GetVersion() == 0 {
		return lists.Config{}, nil
	}
	c, err := lists.Decode(doc.GetBody())
	c.Version = ident.Version(doc.GetVersion())
	return c, err
}

// change is a proposal that a command is about to make.
type change struct {
	old, new lists.Config
	// expected is the version that must be in force.
	expected ident.Version
	dryRun   bool
}

type changeResult struct {
	Accepted bool          `json:"accepted"`
	DryRun   bool          `json:"dry-run,omitempty"`
	Version  ident.Version `json:"version"`
	Changes  []string      `json:"changes"`
}

// propose shows a change and makes it, unless it is a dry run.
func (o *operator) propose(ctx context.Context, c change) error {
	diff := lists.Diff(c.old, c.new)
	if !o.JSON {
		o.showDiff(c, diff)
	}
	if c.dryRun || len(diff) == 0 {
		return o.result(changeResult{DryRun: c.dryRun, Version: c.old.Version, Changes: diff})
	}
	host, _ := os.Hostname()
	reply, err := o.peer().Apply(ctx, &wire.ApplyRequest{
		Body: c.new.Encode(), ExpectedVersion: uint64(c.expected), Operator: host,
	})
	if err != nil {
		return node.ErrorFromTwirp(err, kinds.StoreUnknown)
	}
	if !reply.GetAccepted() {
		return conflict(c, reply)
	}
	return o.result(changeResult{Accepted: true, Version: ident.Version(reply.GetVersion()), Changes: diff})
}

func (o *operator) showDiff(c change, diff []string) {
	fmt.Fprintf(o.s.out, "in force: version %d\n", c.old.Version)
	if len(diff) == 0 {
		fmt.Fprintln(o.s.out, "nothing differs")
	}
	for _, line := range diff {
		fmt.Fprintln(o.s.out, line)
	}
}

func (o *operator) result(r changeResult) error {
	if o.JSON {
		return writeJSON(o.s.out, r)
	}
	switch {
	case r.Accepted:
		fmt.Fprintf(o.s.out, "accepted as version %d\n", r.Version)
	case r.DryRun:
		fmt.Fprintln(o.s.out, "dry run: nothing was changed")
	}
	return nil
}

// conflict tells the operator which version came first and what it changed.
func conflict(c change, reply *wire.ApplyReply) error {
	cur, err := lists.Decode(reply.GetCurrent())
	if err != nil {
		return kinds.Errorf(kinds.Conflict, "version %d is in force, not %d; nothing was changed", reply.GetVersion(),
			c.expected)
	}
	return kinds.Errorf(kinds.Conflict, "version %d is in force, not %d; nothing was changed. It differs from yours by:\n%s",
		reply.GetVersion(), c.expected, strings.Join(lists.Diff(c.new, cur), "\n"))
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "write JSON")
}

type listFlags struct {
	Customers string `long:"customers" value-name:"FILE" description:"list of customers' plans, CSV"`
	Uses      string `long:"uses" value-name:"FILE" description:"list of what each plan may use, CSV"`
}

func (f listFlags) read() ([]lists.CustomerPlan, []lists.Use, error) {
	if f.Customers == "" || f.Uses == "" {
		return nil, nil, kinds.Errorf(kinds.BadRequest, "--customers and --uses go together")
	}
	customers, err := os.ReadFile(f.Customers)
	if err != nil {
		return nil, nil, kinds.Wrap(kinds.BadRequest, err, "list of customers' plans")
	}
	uses, err := os.ReadFile(f.Uses)
	if err != nil {
		return nil, nil, kinds.Wrap(kinds.BadRequest, err, "list of what each plan may use")
	}
	return lists.Parse(customers, uses)
}

type checkCommand struct {
	s        streams
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"settings file to check"`
	listFlags
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute(args []string) error {
	if len(args) > 0 {
		return kinds.Errorf(kinds.BadRequest, "unexpected argument %q: give a settings file with --settings %s, lists with "+
			"--customers and --uses", args[0], args[0])
	}
	if c.Settings == "" && c.Customers == "" && c.Uses == "" {
		return kinds.Errorf(kinds.BadRequest, "nothing to check: give --settings, or --customers and --uses")
	}
	if c.Settings != "" {
		cfg, err := config.Load(c.Settings)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.s.out, "%s: settings of VM %s are valid\n", c.Settings, cfg.VM.Name)
	}
	if c.Customers == "" && c.Uses == "" {
		return nil
	}
	customers, uses, err := c.read()
	if err != nil {
		return err
	}
	fmt.Fprintf(c.s.out, "lists are valid: %d customers, %d rows of what plans may use\n", len(customers), len(uses))
	return nil
}

type applyCommand struct {
	operator
	listFlags
	Expect int64 `long:"expect" default:"-1" value-name:"VERSION" description:"version that must be in force; by default the one that is shown"`
	DryRun bool  `long:"dry-run" description:"show the change and change nothing"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	customers, uses, err := c.read()
	if err != nil {
		return err
	}
	old, err := c.current(ctx)
	if err != nil {
		return err
	}
	next, err := old.WithLists(customers, uses)
	if err != nil {
		return err
	}
	ch := change{old: old, new: next, expected: old.Version, dryRun: c.DryRun}
	if c.Expect >= 0 {
		ch.expected = ident.Version(c.Expect)
	}
	return c.propose(ctx, ch)
}

type drainCommand struct {
	operator
	undo   bool
	DryRun bool `long:"dry-run" description:"show the change and change nothing"`
	Args   struct {
		Scope string `positional-arg-name:"SCOPE" description:"target, vm, failure-domain or region"`
		Name  string `positional-arg-name:"NAME"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	old, err := c.current(ctx)
	if err != nil {
		return err
	}
	d := lists.Drain{Scope: lists.Scope(c.Args.Scope), Name: c.Args.Name}
	next := old
	if c.undo {
		next, err = old.WithoutDrain(d)
	} else {
		next, err = old.WithDrain(d)
	}
	if err != nil {
		return err
	}
	return c.propose(ctx, change{old: old, new: next, expected: old.Version, dryRun: c.DryRun})
}

type moveCommand struct {
	operator
	Service string `long:"service" required:"true" value-name:"NAME"`
	From    string `long:"from" required:"true" value-name:"REGION" description:"region where the requests arrive"`
	To      string `long:"to" value-name:"REGION" description:"region that is to serve them"`
	Share   string `long:"share" value-name:"PERCENT" description:"share of the service's traffic, for example 20%"`
	Stop    bool   `long:"stop" description:"end the move; the traffic returns in steps under the cap"`
	DryRun  bool   `long:"dry-run" description:"show the change and change nothing"`
}

// Execute implements flags.Commander.
func (c *moveCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	old, err := c.current(ctx)
	if err != nil {
		return err
	}
	next := old
	if c.Stop {
		next, err = old.WithoutMove(ident.Service(c.Service), ident.Region(c.From))
	} else {
		next, err = c.with(old)
	}
	if err != nil {
		return err
	}
	if !c.JSON {
		c.estimate()
	}
	return c.propose(ctx, change{old: old, new: next, expected: old.Version, dryRun: c.DryRun})
}

// estimate prints the fewest steps and the least time that the cap allows. Headroom, links and stale measurements can
// only make a move slower.
func (c *moveCommand) estimate() {
	var d struct {
		Planner steer.PlannerDump `json:"planner"`
	}
	share, err := parsePercent(c.Share)
	body, gerr := get(c.Steer, "/dump?service=planner")
	if err != nil || gerr != nil || json.Unmarshal(body, &d) != nil || d.Planner.Cap.PerStep <= 0 {
		return
	}
	limit := d.Planner.Cap
	steps := (share + limit.PerStep - 1) / limit.PerStep
	// Two steps are at least 60 s x PerStep / PerMinute apart, see package shift.
	wait := time.Duration(float64(steps-1) * float64(limit.PerStep) / float64(limit.PerMinute) * float64(time.Minute))
	fmt.Fprintf(c.s.out, "the cap allows this in %d steps and at the earliest after %s; headroom and links can make it "+
		"slower\n", steps, wait.Round(time.Second))
}

func (c *moveCommand) with(old lists.Config) (lists.Config, error) {
	share, err := parsePercent(c.Share)
	if err != nil {
		return old, err
	}
	return old.WithMove(lists.Move{
		Service: ident.Service(c.Service), From: ident.Region(c.From), To: ident.Region(c.To), Share: share,
	})
}

func parsePercent(s string) (ident.PPM, error) {
	v, err := strconv.ParseFloat(strings.TrimSuffix(s, "%"), 64)
	if err != nil || !strings.HasSuffix(s, "%") || !(v > 0 && v <= 100) {
		return 0, kinds.Errorf(kinds.BadRequest, "--share: %q is not a percentage above 0%% and up to 100%%", s)
	}
	return ident.PPM(v / 100 * float64(ident.Whole)), nil
}

type dumpCommand struct {
	s       streams
	Control string `long:"control" required:"true" value-name:"ADDRESS" description:"control port of an entry or steer daemon, IP:port"`
	Args    struct {
		Services []string `positional-arg-name:"SERVICE" description:"services to show; all by default"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	body, err := get(c.Control, "/dump?"+url.Values{"service": c.Args.Services}.Encode())
	if err != nil {
		return err
	}
	_, err = c.s.out.Write(body)
	return err
}

// get reads a page of a control port.
func get(addr, path string) ([]byte, error) {
	client := http.Client{Timeout: callTimeout}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return nil, kinds.Wrap(kinds.StoreDown, err, "call daemon")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusNotFound {
		return nil, kinds.Errorf(kinds.NotFound, "%s", strings.TrimSpace(string(body)))
	}
	if err == nil && resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, err
}
