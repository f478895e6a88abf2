package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/plan"
	"github.com/currantpier/currantpier/steer"
	"github.com/currantpier/currantpier/wire"
)

// probeTimeout is the timeout for the response of one VM.
const probeTimeout = 2 * time.Second

type statusCommand struct {
	operator
}

// statusReport is the state of the whole system, from one steer daemon, the entry daemons and the lease holder.
type statusReport struct {
	Config       ident.Version `json:"config-version"`
	Plan         ident.Version `json:"plan-version"`
	Holder       ident.VM      `json:"lease-holder"`
	Term         ident.Term    `json:"term"`
	VMs          []vmStatus    `json:"vms"`
	Drains       []lists.Drain `json:"drains"`
	Moves        []lists.Move  `json:"moves"`
	ActiveShifts []activeShift `json:"shifts-in-progress"`
}

// vmStatus is the state of one VM. Ready, Config and Plan are set only if its entry daemon answers.
type vmStatus struct {
	VM      ident.VM      `json:"vm"`
	Place   ident.Place   `json:"place"`
	State   string        `json:"state"`
	Answers bool          `json:"answers"`
	Ready   bool          `json:"ready"`
	Config  ident.Version `json:"config-version"`
	Plan    ident.Version `json:"plan-version"`
}

// activeShift is a traffic shift that has not reached its goal, with the current weights of the regions.
type activeShift struct {
	Service ident.Service `json:"service"`
	Origin  ident.Region  `json:"origin"`
	Reason  string        `json:"reason"`
	Weights []plan.Weight `json:"weights"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := c.collect(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(c.s.out, r)
	}
	c.printText(r)
	return nil
}

func (c *statusCommand) collect(ctx context.Context) (statusReport, error) {
	cfg, err := c.currentConfig(ctx)
	if err != nil {
		return statusReport{}, err
	}
	probe, err := c.peer().Probe(ctx, &wire.ProbeRequest{})
	if err != nil {
		return statusReport{}, node.ErrorFromTwirp(err, kinds.StoreDown)
	}
	r := statusReport{
		Config: cfg.Version, Plan: ident.Version(probe.GetPlanVersion()), Holder: ident.VM(probe.GetHolder()),
		Term: ident.Term(probe.GetTerm()), Drains: cfg.Drains, Moves: cfg.Moves,
	}
	vms, err := c.listVMs()
	if err != nil {
		return statusReport{}, err
	}
	for _, m := range vms.Members {
		r.VMs = append(r.VMs, probeVM(ctx, m))
	}
	r.ActiveShifts = c.activeShifts(ctx, vms, r.Holder)
	return r, nil
}

// listVMs returns the list of VMs that the steer daemon has.
func (o *operator) listVMs() (node.MembersDump, error) {
	var d struct {
		Members node.MembersDump `json:"members"`
	}
	body, err := getControl(o.Steer, "/dump?service=members")
	if err != nil {
		return d.Members, err
	}
	return d.Members, json.Unmarshal(body, &d)
}

// probeVM queries the entry daemon of m. If it does not answer, only the values from the VM list are set.
func probeVM(ctx context.Context, m node.MemberDump) vmStatus {
	st := vmStatus{VM: m.VM, Place: m.Place, State: m.State}
	if len(m.Control) == 0 {
		return st
	}
	p := wire.NewPeerProtobufClient("http://"+m.Control[node.EntryDaemon], node.NewHTTPClient(probeTimeout))
	reply, err := p.Probe(ctx, &wire.ProbeRequest{})
	if err != nil {
		return st
	}
	st.Answers, st.Ready = true, reply.GetReady()
	st.Config, st.Plan = ident.Version(reply.GetConfigVersion()), ident.Version(reply.GetPlanVersion())
	return st
}

// activeShifts returns the shifts that have not reached their goal according to the lease holder, or none if the holder
// does not answer.
func (c *statusCommand) activeShifts(ctx context.Context, vms node.MembersDump, holder ident.VM) []activeShift {
	var control string
	for _, m := range vms.Members {
		if m.VM == holder && len(m.Control) > int(node.SteerDaemon) {
			control = m.Control[node.SteerDaemon]
		}
	}
	var d struct {
		Planner steer.PlannerDump `json:"planner"`
	}
	body, err := getControl(control, "/dump?service=planner")
	if err != nil || json.Unmarshal(body, &d) != nil {
		return nil
	}
	weights := c.weights(ctx)
	var shifts []activeShift
	for _, r := range d.Planner.Routes {
		shifts = append(shifts, activeShift{r.Service, r.Origin, r.Reason.String(), weights[routeKey{r.Service, r.Origin}]})
	}
	return shifts
}

// routeKey identifies a route of the traffic plan: a service, and the region where its requests arrive.
type routeKey struct {
	service ident.Service
	origin  ident.Region
}

// weights returns the weights of every route of the traffic plan in force, or none if it cannot be read.
func (c *statusCommand) weights(ctx context.Context) map[routeKey][]plan.Weight {
	weights := map[routeKey][]plan.Weight{}
	doc, err := c.peer().Fetch(ctx, &wire.FetchRequest{Kind: wire.DocumentKind_DOCUMENT_KIND_PLAN})
	if err != nil || doc.GetVersion() == 0 {
		return weights
	}
	t, err := plan.Decode(doc.GetBody())
	if err != nil {
		return weights
	}
	for _, r := range t.Routes {
		weights[routeKey{r.Service, r.Origin}] = r.Weights
	}
	return weights
}

func (c *statusCommand) printText(r statusReport) {
	fmt.Fprintf(c.s.out, "configuration %d, traffic plan %d, lease holder %s (term %d)\n\n", r.Config, r.Plan, r.Holder,
		r.Term)
	w := tabwriter.NewWriter(c.s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "VM\tREGION\tFAILURE DOMAIN\tSTATE\tANSWERS\tREADY\tCONFIGURATION\tPLAN")
	for _, v := range r.VMs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%t\t%d\t%d\n", v.VM, v.Place.Region, v.Place.Domain, v.State, v.Answers,
			v.Ready, v.Config, v.Plan)
	}
	_ = w.Flush()
	for _, d := range r.Drains {
		fmt.Fprintf(c.s.out, "drain: %s %s\n", d.Scope, d.Name)
	}
	for _, m := range r.Moves {
		fmt.Fprintf(c.s.out, "move: %s from %s to %s, %.4g%%\n", m.Service, m.From, m.To, percent(m.Share))
	}
	for _, shift := range r.ActiveShifts {
		fmt.Fprintf(c.s.out, "shift: %s from %s, %s:", shift.Service, shift.Origin, shift.Reason)
		for _, wt := range shift.Weights {
			fmt.Fprintf(c.s.out, " %s %.4g%%", wt.Region, percent(wt.Share))
		}
		fmt.Fprintln(c.s.out)
	}
}

// percent converts parts per million to percent.
func percent(p ident.PPM) float64 { return 100 * float64(p) / float64(ident.Whole) }

type unknownOrdersCommand struct {
	operator
}

// unknownOrder is an order whose outcome is unknown, as reported by the entry daemon of one VM.
type unknownOrder struct {
	VM       ident.VM        `json:"reported-by"`
	ID       ident.RequestID `json:"id"`
	Service  ident.Service   `json:"service,omitempty"`
	Customer ident.Customer  `json:"customer,omitempty"`
	Received time.Time       `json:"received"`
	Reason   string          `json:"reason"`
}

// Execute implements flags.Commander.
func (c *unknownOrdersCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	vms, err := c.listVMs()
	if err != nil {
		return err
	}
	orders := []unknownOrder{}
	for _, m := range vms.Members {
		if len(m.Control) == 0 {
			continue
		}
		p := wire.NewPeerProtobufClient("http://"+m.Control[node.EntryDaemon], node.NewHTTPClient(probeTimeout))
		reply, err := p.Unknown(ctx, &wire.UnknownRequest{})
		if err != nil {
			fmt.Fprintf(c.s.err, "currantpier: %s does not answer; its orders are not listed\n", m.VM)
			continue
		}
		for _, o := range reply.GetOrders() {
			orders = append(orders, unknownOrder{
				m.VM, ident.RequestID(o.GetId()), ident.Service(o.GetService()), ident.Customer(o.GetCustomer()),
				time.UnixMilli(o.GetReceivedUnixMs()).UTC(), o.GetReason(),
			})
		}
	}
	if c.JSON {
		return writeJSON(c.s.out, orders)
	}
	w := tabwriter.NewWriter(c.s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "REQUEST ID\tSERVICE\tCUSTOMER\tRECEIVED\tREPORTED BY\tREASON")
	for _, o := range orders {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", o.ID, o.Service, o.Customer, o.Received.Format(time.RFC3339), o.VM,
			o.Reason)
	}
	return w.Flush()
}
