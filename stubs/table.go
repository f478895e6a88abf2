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

// errConditionFailed is returned if a condition of a transaction does not hold.
var errConditionFailed = errors.New("a condition failed")

// table is an in-memory table with multi-row transactions.
type table struct {
	values map[string][]byte
	// versions also keeps the versions of deleted rows. A row that is written again continues from its old version,
	// so that a condition on an earlier version cannot hold again.
	versions map[string]ident.Version
	// keys are the sorted keys of values.
	keys []string
}

func newTable() table {
	return table{values: map[string][]byte{}, versions: map[string]ident.Version{}}
}

// clone returns an independent copy. Values are shared, since no write modifies one in place.
func (t *table) clone() table {
	return table{values: maps.Clone(t.values), versions: maps.Clone(t.versions), keys: slices.Clone(t.keys)}
}

func (t *table) get(key string) store.Row {
	value, ok := t.values[key]
	if !ok {
		return store.Row{Key: key}
	}
	return store.Row{Key: key, Value: value, Version: t.versions[key]}
}

func (t *table) txn(ops []store.Op) ([]ident.Version, error) {
	keys := map[string]bool{}
	for _, op := range ops {
		if op.Key == "" || keys[op.Key] {
			return nil, errors.New("a key is empty or stands twice")
		}
		keys[op.Key] = true
	}
	for _, op := range ops {
		if t.get(op.Key).Version != op.IfVersion {
			return nil, errConditionFailed
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

// vmList is the actual list of VMs together with the list that callers see, which lags behind it.
type vmList struct {
	lag     time.Duration
	current map[string]store.VMInfo
	visible map[string]store.VMInfo
	pending []vmChange
	// frozenAt is the time after which no change becomes visible. It is zero if the list is not frozen.
	frozenAt time.Time
}

type vmChange struct {
	at      time.Time
	vm      store.VMInfo
	removed bool
}

func newVMList(lag time.Duration) vmList {
	return vmList{lag: lag, current: map[string]store.VMInfo{}, visible: map[string]store.VMInfo{}}
}

func (l *vmList) set(vm store.VMInfo, now time.Time) {
	l.current[vm.Name] = vm
	l.pending = append(l.pending, vmChange{at: now, vm: vm})
}

func (l *vmList) remove(name string, now time.Time) {
	delete(l.current, name)
	l.pending = append(l.pending, vmChange{at: now, vm: store.VMInfo{Name: name}, removed: true})
}

func (l *vmList) setFrozen(frozen bool, now time.Time) {
	switch {
	case !frozen:
		l.frozenAt = time.Time{}
	case l.frozenAt.IsZero():
		l.frozenAt = now
	}
}

func (l *vmList) list(now time.Time) []store.VMInfo {
	if !l.frozenAt.IsZero() {
		now = l.frozenAt
	}
	l.publishUpTo(now.Add(-l.lag))
	out := slices.Collect(maps.Values(l.visible))
	slices.SortFunc(out, func(a, b store.VMInfo) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// publishUpTo makes the changes up to asOf visible.
func (l *vmList) publishUpTo(asOf time.Time) {
	n := 0
	for n < len(l.pending) && !l.pending[n].at.After(asOf) {
		if e := l.pending[n]; e.removed {
			delete(l.visible, e.vm.Name)
		} else {
			l.visible[e.vm.Name] = e.vm
		}
		n++
	}
	l.pending = slices.Delete(l.pending, 0, n)
}
