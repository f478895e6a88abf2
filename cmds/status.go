package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
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

// probeTimeout bounds the wait for one VM in a status.
const probeTimeout = 2 * time.Second

type statusCommand struct {
	operator
}

// statusReport is the state of the whole system as one steer daemon and the entries tell it.
type statusReport struct {
	Config ident.Version `json:"config-version"`
	Plan   ident.Version `json:"plan-version"`
	Holder ident.VM      `json:"lease-holder"`
	Term   ident.Term    `json:"term"`
	VMs    []vmStatus    `json:"vms"`
	Drains []lists.Drain `json:"drains"`
	Moves  []lists.Move  `json:"moves"`
	Moving []movement    `json:"shifts-in-progress"`
}

type vmStatus struct {
	VM     ident.VM      `json:"vm"`
	Place  ident.Place   `json:"place"`
	State  string        `json:"state"`
	Answer bool          `json:"answers"`
	Ready  bool          `json:"ready"`
	Config ident.Version `json:"config-version"`
	Plan   ident.Version `json:"plan-version"`
}

type movement struct {
	Service ident.Service `json:"service"`
	Origin  ident.Region  `json:"origin"`
	Reason  string        `json:"reason"`
	Weights []plan.Weight `json:"weights"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := c.gather(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(c.s.out, r)
	}
	c.print(r)
	return nil
}

func (c *statusCommand) gather(ctx context.Context) (statusReport, error) {
	cfg, err := c.current(ctx)
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
	vms, err := c.members()
	if err != nil {
		return statusReport{}, err
	}
	for _, m := range vms.Members {
		r.VMs = append(r.VMs, probeVM(ctx, m))
	}
	r.Moving = c.moving(ctx, vms, r.Holder)
	return r, nil
}

func (o *operator) members() (node.MembersDump, error) {
	var d struct {
		Members node.MembersDump `json:"members"`
	}
	body, err := get(o.Steer, "/dump?service=members")
	if err != nil {
		return d.Members, err
	}
	return d.Members, json.Unmarshal(body, &d)
}

func probeVM(ctx context.Context, m node.MemberDump) vmStatus {
	st := vmStatus{VM: m.VM, Place: m.Place, State: m.State}
	if len(m.Control) == 0 {
		return st
	}
	p := wire.NewPeerProtobufClient("http://"+m.Control[node.EntryDaemon], &http.Client{Timeout: probeTimeout})
	reply, err := p.Probe(ctx, &wire.ProbeRequest{})
	if err != nil {
		return st
	}
	st.Answer, st.Ready = true, reply.GetReady()
	st.Config, st.Plan = ident.Version(reply.GetConfigVersion()), ident.Version(reply.GetPlanVersion())
	return st
}

// moving asks the lease holder which shifts are not at their goal. It returns none if the holder does not answer.
func (c *statusCommand) moving(ctx context.Context, vms node.MembersDump, holder ident.VM) []movement {
	var control string
	for _, m := range vms.Members {
		if m.VM == holder && len(m.Control) > int(node.SteerDaemon) {
			control = m.Control[node.SteerDaemon]
		}
	}
	var d struct {
		Planner steer.PlannerDump `json:"planner"`
	}
	body, err := get(control, "/dump?service=planner")
	if err != nil || json.Unmarshal(body, &d) != nil {
		return nil
	}
	weights := c.weights(ctx)
	var moving []movement
	for _, m := range d.Planner.Routes {
		moving = append(moving, movement{m.Service, m.Origin, m.Reason.String(), weights[routeKey{m.Service, m.Origin}]})
	}
	return moving
}

type routeKey struct {
	service ident.Service
	origin  ident.Region
}

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

func (c *statusCommand) print(r statusReport) {
	fmt.Fprintf(c.s.out, "configuration %d, traffic plan %d, lease holder %s (term %d)\n\n", r.Config, r.Plan, r.Holder,
		r.Term)
	w := tabwriter.NewWriter(c.s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "VM\tREGION\tFAILURE DOMAIN\tSTATE\tANSWERS\tREADY\tCONFIGURATION\tPLAN")
	for _, v := range r.VMs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%t\t%d\t%d\n", v.VM, v.Place.Region, v.Place.Domain, v.State, v.Answer,
			v.Ready, v.Config, v.Plan)
	}
	_ = w.Flush()
	for _, d := range r.Drains {
		fmt.Fprintf(c.s.out, "drain: %s %s\n", d.Scope, d.Name)
	}
	for _, m := range r.Moves {
		fmt.Fprintf(c.s.out, "move: %s from %s to %s, %.4g%%\n", m.Service, m.From, m.To, percent(m.Share))
	}
	for _, m := range r.Moving {
		fmt.Fprintf(c.s.out, "shift: %s from %s, %s:", m.Service, m.Origin, m.Reason)
		for _, wt := range m.Weights {
			fmt.Fprintf(c.s.out, " %s %.4g%%", wt.Region, percent(wt.Share))
		}
		fmt.Fprintln(c.s.out)
	}
}

func percent(p ident.PPM) float64 { return 100 * float64(p) / float64(ident.Whole) }

type unknownCommand struct {
	operator
}

type unknownOrder struct {
	VM       ident.VM        `json:"reported-by"`
	ID       ident.RequestID `json:"id"`
	Service  ident.Service   `json:"service,omitempty"`
	Customer ident.Customer  `json:"customer,omitempty"`
	Received time.Time       `json:"received"`
	Reason   string          `json:"reason"`
}

// Execute implements flags.Commander.
func (c *unknownCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	vms, err := c.members()
	if err != nil {
		return err
	}
	orders := []unknownOrder{}
	for _, m := range vms.Members {
		if len(m.Control) == 0 {
			continue
		}
		p := wire.NewPeerProtobufClient("http://"+m.Control[node.EntryDaemon], &http.Client{Timeout: probeTimeout})
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
