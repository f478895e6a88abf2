package lists

import (
	"fmt"
	"sort"
)

// item is one row in readable form. Rows with equal keys are two versions of the same row.
type item struct {
	key, value string
}

// Diff describes the changes from old to cur, one line each: customers, uses, drains and moves, each in alphabetical
// order. Versions are not compared.
func Diff(old, cur Config) []string {
	lines := diffItems(customerItems(old), customerItems(cur))
	lines = append(lines, diffItems(useItems(old), useItems(cur))...)
	lines = append(lines, diffItems(drainItems(old), drainItems(cur))...)
	return append(lines, diffItems(moveItems(old), moveItems(cur))...)
}

func customerItems(c Config) []item {
	items := make([]item, 0, len(c.Customers))
	for _, r := range c.Customers {
		items = append(items, item{"customer " + string(r.Customer), "plan " + string(r.Plan)})
	}
	return items
}

func useItems(c Config) []item {
	items := make([]item, 0, len(c.Uses))
	for _, r := range c.Uses {
		items = append(items, item{
			fmt.Sprintf("plan %s, service %s", r.Plan, r.Service),
			fmt.Sprintf("rate %s/s, weight %d, orders %s", formatRate(r.Rate), r.Weight, yesNo(r.Orders)),
		})
	}
	return items
}

func drainItems(c Config) []item {
	items := make([]item, 0, len(c.Drains))
	for _, d := range c.Drains {
		items = append(items, item{fmt.Sprintf("drain of %s %s", d.Scope, d.Name), ""})
	}
	return items
}

func moveItems(c Config) []item {
	items := make([]item, 0, len(c.Moves))
	for _, m := range c.Moves {
		items = append(items, item{
			fmt.Sprintf("move of %s from %s", m.Service, m.From),
			fmt.Sprintf("%g%% to %s", float64(m.Share)/10_000, m.To),
		})
	}
	return items
}

func diffItems(old, cur []item) []string {
	before := make(map[string]string, len(old))
	for _, it := range old {
		before[it.key] = it.value
	}
	var lines []string
	for _, it := range cur {
		was, ok := before[it.key]
		switch {
		case !ok:
			lines = append(lines, it.key+" added"+prefixed(": ", it.value))
		case was != it.value:
			lines = append(lines, it.key+" changed: "+was+" -> "+it.value)
		}
		delete(before, it.key)
	}
	for key, was := range before {
		lines = append(lines, key+" removed"+prefixed(": was ", was))
	}
	sort.Strings(lines)
	return lines
}

func prefixed(prefix, s string) string {
	if s == "" {
		return ""
	}
	return prefix + s
}
