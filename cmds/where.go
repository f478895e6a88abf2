package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/carry"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/pick"
)

// whereCommand shows where a VM would send a request.
type whereCommand struct {
	s       streams
	Control string `long:"control" required:"true" value-name:"ADDRESS" description:"port of a VM for metrics and dumps, IP:port"`
	Host    string `long:"host" required:"true" value-name:"HOST" description:"host of the request"`
	Path    string `long:"path" required:"true" value-name:"PATH" description:"path of the request"`
	Object  string `long:"object" value-name:"KEY" description:"affinity key of the request"`
	// The environment variable keeps the key out of process lists and shell histories.
	APIKey string `long:"api-key" env:"CURRANTPIER_API_KEY" value-name:"KEY" description:"API key of the request's customer"`
	All    bool   `long:"all" description:"show all targets; the first 20 by default"`
	JSON   bool   `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
func (c *whereCommand) Execute([]string) error {
	q := url.Values{"host": {c.Host}, "path": {c.Path}}
	if c.Object != "" {
		q.Set("object", c.Object)
	}
	if c.All {
		q.Set("all", "1")
	}
	fields := map[string]string{}
	if c.APIKey != "" {
		fields[carry.WhereKeyField] = c.APIKey
	}
	body, err := getControlWith(c.Control, carry.WherePath+"?"+q.Encode(), fields)
	if kinds.Of(err) == kinds.NotFound {
		return kinds.Errorf(kinds.NotFound, "%s doesn't serve %s: it isn't the port for metrics and dumps, or the VM runs an earlier build",
			c.Control, carry.WherePath)
	}
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = c.s.out.Write(body)
		return err
	}
	var w carry.Where
	if err := json.Unmarshal(body, &w); err != nil {
		return errors.Wrap(err, "decode the VM's answer")
	}
	return printWhere(c.s.out, &w)
}

// printWhere prints an answer as text.
func printWhere(out io.Writer, w *carry.Where) error {
	fmt.Fprintf(out, "config:    version %d\n", w.Version)
	if r := w.Route; r != nil {
		fmt.Fprintf(out, "route:     %s (%s%s), timeout %d ms%s\n", r.Name, r.Host, r.Prefix, r.TimeoutMS, regionsText(r.Regions))
	}
	if u := w.Customer; u != nil {
		fmt.Fprintf(out, "customer:  %s, priority %d%s\n", u.Name, u.Priority, regionsText(u.Regions))
	}
	if w.Service != "" {
		fmt.Fprintf(out, "service:   %s\n", w.Service)
	}
	if w.Choice != nil {
		printChoice(out, w.Choice)
	}
	fmt.Fprintf(out, "verdict:   %s\n", verdictText(w))
	for _, n := range w.Notes {
		fmt.Fprintf(out, "note:      %s\n", n)
	}
	if w.Choice == nil || len(w.Choice.Targets) == 0 {
		return nil
	}
	if err := printTargets(out, w.Choice.Targets); err != nil {
		return err
	}
	if w.Omitted > 0 {
		fmt.Fprintf(out, "%d more targets; --all shows them\n", w.Omitted)
	}
	return nil
}

func regionsText(list []ident.Region) string {
	if len(list) == 0 {
		return ""
	}
	return ", only in " + regionNames(list)
}

func regionNames(list []ident.Region) string {
	names := make([]string, len(list))
	for i, r := range list {
		names[i] = string(r)
	}
	return strings.Join(names, " ")
}

func verdictText(w *carry.Where) string {
	if w.Choice != nil && w.Choice.Target != "" {
		return "sent to " + string(w.Choice.Target)
	}
	return fmt.Sprintf("%d %s", w.Status, w.Verdict)
}

func printChoice(out io.Writer, v *pick.Preview) {
	if v.Home != "" {
		fmt.Fprintf(out, "home:      region %s\n", v.Home)
	}
	if len(v.Holders) > 0 {
		fmt.Fprint(out, "holders:  ")
		for _, h := range v.Holders {
			fmt.Fprintf(out, " %s", h)
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "targets:   %d eligible, %d of them too late", v.Eligible, v.Late)
	for _, cause := range slices.Sorted(maps.Keys(v.Excluded)) {
		fmt.Fprintf(out, ", %d %s", v.Excluded[cause], cause)
	}
	fmt.Fprintln(out)
}

// printTargets prints a table of targets. Times are in milliseconds.
func printTargets(out io.Writer, list []pick.TargetPreview) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nTARGET\tREGION\tDOMAIN\tIN FLIGHT\tLOAD\tSLOTS\tPACE\tEXPECTED\tCOST\tFAILURES\tDISTANCE\tMISS\tSPREAD\tBALANCE\tSTATE")
	for i := range list {
		t := &list[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%d\t%.2f\t", t.ID, t.Region, t.Domain, t.InFlight, t.Load, t.Slots, t.Pace)
		if x := t.Terms; x != nil {
			fmt.Fprintf(w, "%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t", t.ExpectedMS, t.CostMS, x.FailuresMS, x.DistanceMS, x.MissMS, x.SpreadMS,
				x.BalanceMS)
		} else {
			fmt.Fprint(w, "-\t-\t-\t-\t-\t-\t-\t")
		}
		fmt.Fprintln(w, stateText(t))
	}
	return w.Flush()
}

// stateText returns what else is known of a target.
func stateText(t *pick.TargetPreview) string {
	var parts []string
	add := func(set bool, format string, args ...any) {
		if set {
			parts = append(parts, fmt.Sprintf(format, args...))
		}
	}
	add(t.Excluded != "", "excluded: %s", t.Excluded)
	add(t.Known, "knows object")
	add(t.Holder > 0, "holder %d", t.Holder)
	add(t.Late, "too late")
	add(t.RegionLimited, "region limit")
	add(t.Cold, "cold until %s", clockText(t.ColdUntil))
	add(t.Suspect, "suspect until %s", clockText(t.SuspectUntil))
	add(t.Leaving, "leaving")
	add(!t.ResumeAt.IsZero(), "backed off until %s", clockText(t.ResumeAt))
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

func clockText(t time.Time) string { return t.UTC().Format("15:04:05.000") }
