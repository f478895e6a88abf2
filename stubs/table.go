package stubs

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/store"
)

// errCondition means that a condition of a transaction failed.
var errCondition = errors.New("a condition failed")

// table is a table with transactions over several rows.
type table struct {
	values map[string][]byte
	// versions also holds the versions of deleted rows. A row that is written again continues to count, so a condition
	// on an old version can't come true again.
	versions map[string]ident.Version
	// keys are the keys of values, sorted.
	keys []string
}

func newTable() table {
	return table{values: map[string][]byte{}, versions: map[string]ident.Version{}}
}

func (t *table) get(key string) store.Row {
	value, ok := t.values[key]
	if !ok {
		return store.Row{Key: key}
	}
	return store.Row{Key: key, Value: value, Version: t.versions[key]}
}

func (t *table) txn(ops []store.Op) ([]ident.Version, error) {
	seen := map[string]bool{}
	for _, op := range ops {
		if op.Key == "" || seen[op.Key] {
			return nil, errors.New("a key is empty or stands twice")
		}
		seen[op.Key] = true
	}
	for _, op := range ops {
		if t.get(op.Key).Version != op.IfVersion {
			return nil, errCondition
		}
	}
	versions := make([]ident.Version, len(ops))
	for i, op := range ops {
		if !op.CheckOnly {
			t.write(op)
		}
		versions[i] = t.get(op.Key).Version
	}
	return versions, nil
}

func (t *table) write(op store.Op) {
	at, ok := slices.BinarySearch(t.keys, op.Key)
	switch {
	case op.Delete && ok:
		t.keys = slices.Delete(t.keys, at, at+1)
		delete(t.values, op.Key)
	case op.Delete:
	default:
		if !ok {
			t.keys = slices.Insert(t.keys, at, op.Key)
		}
		t.values[op.Key] = op.Value
		t.versions[op.Key]++
	}
}

func (t *table) list(prefix, after string, limit int) []store.Row {
	from, found := slices.BinarySearch(t.keys, max(prefix, after))
	if found && after >= prefix {
		from++
	}
	var rows []store.Row
	for _, key := range t.keys[from:] {
		if len(rows) == limit || !strings.HasPrefix(key, prefix) {
			break
		}
		rows = append(rows, t.get(key))
	}
	return rows
}

// vmList is the true list of VMs and the list as it shows, which lags.
type vmList struct {
	lag    time.Duration
	truth  map[string]store.VMInfo
	shown  map[string]store.VMInfo
	events []vmEvent
	// frozenAt is the time from which on no change shows; zero if the list is not frozen.
	frozenAt time.Time
}

type vmEvent struct {
	at   time.Time
	vm   store.VMInfo
	gone bool
}

func newVMList(lag time.Duration) vmList {
	return vmList{lag: lag, truth: map[string]store.VMInfo{}, shown: map[string]store.VMInfo{}}
}

func (l *vmList) set(vm store.VMInfo, now time.Time) {
	l.truth[vm.Name] = vm
	l.events = append(l.events, vmEvent{at: now, vm: vm})
}

func (l *vmList) remove(name string, now time.Time) {
	delete(l.truth, name)
	l.events = append(l.events, vmEvent{at: now, vm: store.VMInfo{Name: name}, gone: true})
}

func (l *vmList) freeze(on bool, now time.Time) {
	switch {
	case !on:
		l.frozenAt = time.Time{}
	case l.frozenAt.IsZero():
		l.frozenAt = now
	}
}

func (l *vmList) list(now time.Time) []store.VMInfo {
	if !l.frozenAt.IsZero() {
		now = l.frozenAt
	}
	l.advance(now.Add(-l.lag))
	out := slices.Collect(maps.Values(l.shown))
	slices.SortFunc(out, func(a, b store.VMInfo) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// advance shows the events up to asOf.
func (l *vmList) advance(asOf time.Time) {
	n := 0
	for n < len(l.events) && !l.events[n].at.After(asOf) {
		if e := l.events[n]; e.gone {
			delete(l.shown, e.vm.Name)
		} else {
			l.shown[e.vm.Name] = e.vm
		}
		n++
	}
	l.events = slices.Delete(l.events, 0, n)
}
