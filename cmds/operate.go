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

// callTimeout is the timeout of one call of a command. It exceeds the time in which a steer daemon finds out whether a
// write with a lost response was applied.
const callTimeout = 15 * time.Second

// operator holds the flags that the operators' commands share.
type operator struct {
	s     streams
	Steer string `long:"steer" required:"true" value-name:"ADDRESS" description:"control port of any steer daemon, IP:port"`
	JSON  bool   `long:"json" description:"print JSON"`
}

// peer returns a client for the control port of the steer daemon.
func (o *operator) peer() wire.Peer {
	return wire.NewPeerProtobufClient("http://"+o.Steer, node.NewHTTPClient(callTimeout))
}

// currentConfig returns the configuration that is in force at the steer daemon, or an empty one if there is none.
func (o *operator) currentConfig(ctx context.Context) (lists.Config, error) {
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

// proposal is a change of the configuration.
type proposal struct {
	old, new lists.Config
	// expected is the version that must be in force for the change to be accepted.
	expected ident.Version
	dryRun   bool
}

// proposalResult is the JSON output of a proposal.
type proposalResult struct {
	Accepted bool          `json:"accepted"`
	DryRun   bool          `json:"dry-run,omitempty"`
	Version  ident.Version `json:"version"`
	Changes  []string      `json:"changes"`
}

// propose prints the differences and applies the change, unless it is a dry run or nothing differs.
func (o *operator) propose(ctx context.Context, c proposal) error {
	diff := lists.Diff(c.old, c.new)
	if !o.JSON {
		o.printDiff(c, diff)
	}
	if c.dryRun || len(diff) == 0 {
		return o.printResult(proposalResult{DryRun: c.dryRun, Version: c.old.Version, Changes: diff})
	}
	host, _ := os.Hostname()
	reply, err := o.peer().Apply(ctx, &wire.ApplyRequest{
		Body: c.new.Encode(), ExpectedVersion: uint64(c.expected), Operator: host,
	})
	if err != nil {
		return node.ErrorFromTwirp(err, kinds.StoreUnknown)
	}
	if !reply.GetAccepted() {
		return conflictError(c, reply)
	}
	return o.printResult(proposalResult{Accepted: true, Version: ident.Version(reply.GetVersion()), Changes: diff})
}

func (o *operator) printDiff(c proposal, diff []string) {
	fmt.Fprintf(o.s.out, "in force: version %d\n", c.old.Version)
	if len(diff) == 0 {
		fmt.Fprintln(o.s.out, "nothing differs")
	}
	for _, line := range diff {
		fmt.Fprintln(o.s.out, line)
	}
}

func (o *operator) printResult(r proposalResult) error {
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

// conflictError returns a Conflict error with the version in force and its differences from the proposed one.
func conflictError(c proposal, reply *wire.ApplyReply) error {
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

// listFlags are the flags for the two list files.
type listFlags struct {
	Customers string `long:"customers" value-name:"FILE" description:"list of customers' plans, CSV"`
	Uses      string `long:"uses" value-name:"FILE" description:"list of what each plan may use, CSV"`
}

// read parses both list files. Errors have kind BadRequest.
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
	old, err := c.currentConfig(ctx)
	if err != nil {
		return err
	}
	next, err := old.WithLists(customers, uses)
	if err != nil {
		return err
	}
	p := proposal{old: old, new: next, expected: old.Version, dryRun: c.DryRun}
	if c.Expect >= 0 {
		p.expected = ident.Version(c.Expect)
	}
	return c.propose(ctx, p)
}

type drainCommand struct {
	operator
	// undo is set in the command undrain.
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
	old, err := c.currentConfig(ctx)
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
	return c.propose(ctx, proposal{old: old, new: next, expected: old.Version, dryRun: c.DryRun})
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
	old, err := c.currentConfig(ctx)
	if err != nil {
		return err
	}
	next := old
	if c.Stop {
		next, err = old.WithoutMove(ident.Service(c.Service), ident.Region(c.From))
	} else {
		next, err = c.withMove(old)
	}
	if err != nil {
		return err
	}
	if !c.JSON {
		c.printEstimate()
	}
	return c.propose(ctx, proposal{old: old, new: next, expected: old.Version, dryRun: c.DryRun})
}

// printEstimate prints the minimum number of steps and the minimum time for the move under the shift cap. Limited
// headroom, link capacity and stale measurements can only slow a move down. It prints nothing if the share is invalid
// or the steer daemon does not return its cap.
func (c *moveCommand) printEstimate() {
	var d struct {
		Planner steer.PlannerDump `json:"planner"`
	}
	share, err := parsePercent(c.Share)
	body, getErr := getControl(c.Steer, "/dump?service=planner")
	if err != nil || getErr != nil || json.Unmarshal(body, &d) != nil || d.Planner.Cap.PerStep <= 0 {
		return
	}
	limit := d.Planner.Cap
	steps := (share + limit.PerStep - 1) / limit.PerStep
	// Package shift spaces steps at least 60 s x PerStep / PerMinute apart.
	minDuration := time.Duration(float64(steps-1) * float64(limit.PerStep) / float64(limit.PerMinute) * float64(time.Minute))
	fmt.Fprintf(c.s.out, "the cap allows this in %d steps and at the earliest after %s; headroom and links can make it "+
		"slower\n", steps, minDuration.Round(time.Second))
}

// withMove returns old with the move of the command line.
func (c *moveCommand) withMove(old lists.Config) (lists.Config, error) {
	share, err := parsePercent(c.Share)
	if err != nil {
		return old, err
	}
	return old.WithMove(lists.Move{
		Service: ident.Service(c.Service), From: ident.Region(c.From), To: ident.Region(c.To), Share: share,
	})
}

// parsePercent parses a value of --share such as "20%": above 0% and up to 100%.
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
	body, err := getControl(c.Control, "/dump?"+url.Values{"service": c.Args.Services}.Encode())
	if err != nil {
		return err
	}
	_, err = c.s.out.Write(body)
	return err
}

// getControl returns the body of a GET request to a control port. An error of the request has kind StoreDown,
// status 404 has kind NotFound, status 400 BadRequest, and other errors have no kind.
func getControl(addr, path string) ([]byte, error) { return getControlWith(addr, path, nil) }

// getControlWith is getControl with header fields.
func getControlWith(addr, path string, fields map[string]string) ([]byte, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, kinds.Wrap(kinds.BadRequest, err, "address of the daemon")
	}
	for name, value := range fields {
		req.Header.Set(name, value)
	}
	resp, err := node.NewHTTPClient(callTimeout).Do(req)
	if err != nil {
		return nil, kinds.Wrap(kinds.StoreDown, err, "call daemon")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusNotFound {
		return nil, kinds.Errorf(kinds.NotFound, "%s", strings.TrimSpace(string(body)))
	}
	if err == nil && resp.StatusCode == http.StatusBadRequest {
		return nil, kinds.Errorf(kinds.BadRequest, "%s", strings.TrimSpace(string(body)))
	}
	if err == nil && resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, err
}
