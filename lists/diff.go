package lists

import (
	"fmt"
	"sort"
)

// diffItem is a row formatted for Diff. Rows of two configurations with equal keys are versions of the same row.
type diffItem struct {
	key, value string
}

// Diff returns one line for each difference between old and cur: customers, then uses, drains and moves, each group in
// alphabetical order. It ignores versions.
func Diff(old, cur Config) []string {
	lines := diffItems(customerItems(old), customerItems(cur))
	lines = append(lines, diffItems(useItems(old), useItems(cur))...)
	lines = append(lines, diffItems(drainItems(old), drainItems(cur))...)
	return append(lines, diffItems(moveItems(old), moveItems(cur))...)
}

func customerItems(c Config) []diffItem {
	items := make([]diffItem, 0, len(c.Customers))
	for _, r := range c.Customers {
		items = append(items, diffItem{"customer " + string(r.Customer), "plan " + string(r.Plan)})
	}
	return items
}

func useItems(c Config) []diffItem {
	items := make([]diffItem, 0, len(c.Uses))
	for _, r := range c.Uses {
		items = append(items, diffItem{
			fmt.Sprintf("plan %s, service %s", r.Plan, r.Service),
			fmt.Sprintf("rate %s/s, weight %d, orders %s", formatRate(r.Rate), r.Weight, yesNo(r.Orders)),
		})
	}
	return items
}

func drainItems(c Config) []diffItem {
	items := make([]diffItem, 0, len(c.Drains))
	for _, d := range c.Drains {
		items = append(items, diffItem{fmt.Sprintf("drain of %s %s", d.Scope, d.Name), ""})
	}
	return items
}

func moveItems(c Config) []diffItem {
	items := make([]diffItem, 0, len(c.Moves))
	for _, m := range c.Moves {
		items = append(items, diffItem{
			fmt.Sprintf("move of %s from %s", m.Service, m.From),
			fmt.Sprintf("%g%% to %s", float64(m.Share)/10_000, m.To),
		})
	}
	return items
}

func diffItems(old, cur []diffItem) []string {
	oldValues := make(map[string]string, len(old))
	for _, it := range old {
		oldValues[it.key] = it.value
	}
	var lines []string
	for _, it := range cur {
		oldValue, ok := oldValues[it.key]
		switch {
		case !ok:
			lines = append(lines, it.key+" added"+prefixUnlessEmpty(": ", it.value))
		case oldValue != it.value:
			lines = append(lines, it.key+" changed: "+oldValue+" -> "+it.value)
		}
		delete(oldValues, it.key)
	}
	for key, oldValue := range oldValues {
		lines = append(lines, key+" removed"+prefixUnlessEmpty(": was ", oldValue))
	}
	sort.Strings(lines)
	return lines
}

// prefixUnlessEmpty returns prefix+s, or "" if s is empty.
func prefixUnlessEmpty(prefix, s string) string {
	if s == "" {
		return ""
	}
	return prefix + s
}
