package pick

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// hotLoad describes requests of which hotShare is for a few hot objects of each region and the rest for many others.
type hotLoad struct {
	perSecond, objects, hot int
	hotShare                float64
}

// hotModel is a model whose requests are kept.
type hotModel struct {
	*model
	hot, others []*modelRequest
	// highest is the highest mean load of a target in a second, as a ratio to the bound of a holder's load.
	highest float64
}

func newHotModel(on bool) *hotModel {
	m := &hotModel{model: newModel(27, currentPicker)}
	m.timeouts = true
	for _, p := range m.vms {
		if on {
			WithHolders()(p)
		}
		p.SetCallerShare(3 / float64(len(m.vms)))
	}
	return m
}

// add adds the requests of the seconds [from, to).
func (m *hotModel) add(from, to int, load hotLoad) {
	for s := from; s < to; s++ {
		for range load.perSecond {
			m.after(time.Duration(s)*time.Second+time.Duration(m.rng.Int63n(int64(time.Second))), func() { m.arrive(load) })
		}
	}
}

func (m *hotModel) arrive(load hotLoad) {
	vm := m.vms[m.rng.Intn(len(m.vms))]
	list, key := &m.others, load.hot+m.rng.Intn(load.objects)
	if m.rng.Float64() < load.hotShare {
		list, key = &m.hot, m.rng.Intn(load.hot)
	}
	r := &modelRequest{vm: vm, arrived: m.now, request: Request{Route: modelRoute, Service: "s", Deadline: at(m.now + 1200*time.Millisecond),
		Object: NewObject("r", fmt.Append(nil, key, vm.place.Region))}}
	*list = append(*list, r)
	m.send(r)
}

// observe samples the loads of all targets every 20 ms and compares their means of each second in [from, to) with the bound.
func (m *hotModel) observe(from, to int) {
	const samples = 50
	sum := map[ident.Target]float64{}
	for s := from; s < to; s++ {
		for i := range samples {
			m.after(time.Duration(s)*time.Second+time.Duration(i)*time.Second/samples, func() {
				for id, t := range m.targets {
					sum[id] += float64(t.running+len(t.queue)) / samples
				}
			})
		}
		m.after(time.Duration(s+1)*time.Second, func() {
			mean := 0.0
			for _, x := range sum {
				mean += x / float64(len(sum))
			}
			for _, x := range sum {
				m.highest = max(m.highest, x/max(modelSlots, loadFactor*mean))
			}
			clear(sum)
		})
	}
}

// summary returns the shares of the requests since from that were answered within the latency target, and that met a warm cache,
// and the mean latency of the answered ones.
func summary(list []*modelRequest, from time.Duration) (inTime, warm float64, latency time.Duration) {
	all, ran := 0.0, 0.0
	for _, r := range list {
		if r.arrived < from {
			continue
		}
		all++
		if !r.ended || r.result != Served {
			continue
		}
		ran++
		latency += r.endedAt - r.arrived
		if r.warm {
			warm++
		}
		if r.endedAt-r.arrived <= modelLatencyTarget {
			inTime++
		}
	}
	return inTime / all, warm / ran, latency / time.Duration(ran)
}

// Guards against hot objects that overload their only holder: three objects of each region have 0.7 of a service's demand, so that
// each needs 0.9 of a target, while the targets together need half of their slots; a target remembers 16 objects and is 3.3 times
// as fast for these. With several holders no target may exceed its bound in the mean of a second, the callers of the hot objects
// must be answered in half the time, and the other objects must not lose their places in the caches.
func TestFewObjectsHaveMostOfTheDemand(t *testing.T) {
	const from, to = 10, 30
	run := func(on bool) (highest, othersWarm float64, hotLatency time.Duration) {
		m := newHotModel(on)
		load := hotLoad{perSecond: 500, objects: 60, hot: 3, hotShare: 0.7}
		m.add(0, to, load)
		m.observe(from, to)
		m.run(nil)
		hotInTime, _, hotLatency := summary(m.hot, from*time.Second)
		othersInTime, othersWarm, _ := summary(m.others, from*time.Second)
		t.Logf("holders %v: highest load %.2f of the bound; hot objects %.3f in time, mean %v; others %.3f in time, %.3f warm", on,
			m.highest, hotInTime, hotLatency.Round(time.Millisecond), othersInTime, othersWarm)
		return m.highest, othersWarm, hotLatency
	}
	offHighest, offWarm, offLatency := run(false)
	highest, warm, latency := run(true)
	if offHighest <= 1 {
		t.Errorf("the load is too low to show the failure: with one holder each, the highest load is %.2f of the bound", offHighest)
	}
	if highest > 1 {
		t.Errorf("the highest load is %.2f of the bound", highest)
	}
	if warm < offWarm {
		t.Errorf("%.3f of the other objects' requests met a warm cache, %.3f with one holder each", warm, offWarm)
	}
	if latency > offLatency/2 {
		t.Errorf("the hot objects' callers waited %v, %v with one holder each", latency, offLatency)
	}
}

// Guards against objects that keep their further holders when the demand ebbs, and against further holders of objects that are
// requested equally often: each takes the place of another object in a cache.
func TestHoldersReturnWhenDemandEbbs(t *testing.T) {
	m := newHotModel(true)
	further := func() (n int) {
		for _, p := range m.vms {
			for _, x := range p.HotObjects(at(m.now)) {
				n += x.Needed - 1
			}
		}
		return n
	}
	m.add(0, 20, hotLoad{perSecond: 500, objects: 60, hot: 3, hotShare: 0.5})
	m.add(20, 60, hotLoad{perSecond: 250, objects: 63})
	before, after := 0, 0
	m.after(20*time.Second, func() { before = further() })
	m.after(60*time.Second, func() { after = further() })
	m.run(nil)
	if before < 3*len(m.vms) {
		t.Errorf("%d further holders at all VMs together while three objects are hot", before)
	}
	if after > 0 {
		t.Errorf("%d further holders 40 s after the demand has ebbed, %d before", after, before)
	}
}

// heated returns a picker to which an object is so hot that it has several holders, and their targets.
func heated(vm ident.VM, regionVMs int, s *fleet.Snapshot) (*Picker, []ident.Target) {
	p := New(vm, here, WithHolders())
	p.SetCallerShare(1 / float64(regionVMs))
	p.SetTargets(start, s)
	for i := range 200 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		p.Choose(now, request(now, "hot"))
	}
	return p, p.HotObjects(heatedAt)[0].Holders
}

var heatedAt = start.Add(10 * time.Second)

// Guards against VMs that send a hot object's requests to different targets: with the same targets, a VM that knows fewer VMs must
// select a part of the holders of the others, and one that lacks a target must select the others' remaining ones.
func TestHoldersWithDifferentViews(t *testing.T) {
	_, all := heated("vm1", 4, snapshot(12, 10))
	_, fewer := heated("vm2", 2, snapshot(12, 10))
	if len(all) < 4 || len(fewer) < 2 || len(fewer) >= len(all) || !slices.Equal(fewer, all[:len(fewer)]) {
		t.Errorf("holders by a VM that counts half of the VMs: %v, by others: %v", fewer, all)
	}
	s := snapshot(12, 10)
	s.Targets["s"] = slices.DeleteFunc(s.Targets["s"], func(x fleet.Target) bool { return x.ID == all[1] })
	_, lacking := heated("vm3", 4, s)
	if want := append(all[:1:1], all[2:]...); !slices.Equal(lacking[:len(want)], want) {
		t.Errorf("holders without %s: %v, before %v", all[1], lacking, all)
	}
}

// Guards against a holder that keeps its share of a hot object's requests after it can't serve them: the next target by hash must
// take its place, and the other holders must stay.
func TestHolderFails(t *testing.T) {
	for name, fail := range map[string]func(p *Picker, id ident.Target){
		"leaves": func(p *Picker, id ident.Target) { p.RecordLeaving(heatedAt, &p.byID[id].Target) },
		"becomes cold, another VM warms it up": func(p *Picker, id ident.Target) {
			p.byID[id].ColdUntil = heatedAt.Add(time.Minute)
			p.SetVMs(nil, false)
		},
		"becomes cold, this VM warms it up": func(p *Picker, id ident.Target) { p.byID[id].ColdUntil = heatedAt.Add(time.Minute) },
		"is unreachable":                    func(p *Picker, id ident.Target) { p.byID[id].suspectUntil = heatedAt.Add(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			p, before := heated("vm", 2, snapshot(12, 10))
			fail(p, before[0])
			after := p.HotObjects(heatedAt)[0].Holders
			if slices.Contains(after, before[0]) || len(after) != len(before) || !slices.Equal(after[:len(before)-1], before[1:]) {
				t.Errorf("holders %v, before %v", after, before)
			}
			for range 8 {
				a := request(heatedAt, "hot")
				c, reason := p.Choose(heatedAt, a)
				if reason != Chosen || c.Target.ID == before[0] || c.Holder == 0 {
					t.Fatalf("%s, %s chosen as holder %d, holders %v", reason, c.Target.ID, c.Holder, after)
				}
				p.RecordStart(heatedAt, a, c)
			}
		})
	}
}

// Guards against a holder that gets requests over its bound while another one has room, and against a target outside the holders
// that gets requests because one holder is full.
func TestFullHolderGetsNothing(t *testing.T) {
	p, holders := heated("vm", 2, snapshot(12, 10))
	for _, id := range holders[1:] {
		p.byID[id].othersLoad, p.byID[id].reportedAt = 5, heatedAt
	}
	// The holder with room is the slowest one, so that the expected time alone would choose another one.
	p.byID[holders[0]].slowdown = 2.5
	for _, r := range []ident.Region{"b", "c"} {
		p.RecordRTT(r, 300*time.Millisecond)
	}
	for range 4 {
		a := request(heatedAt, "hot")
		c, reason := p.Choose(heatedAt, a)
		if reason != Chosen || c.Target.ID != holders[0] || c.Holder != 1 {
			t.Fatalf("%s, chosen %s as holder %d, want %s", reason, c.Target.ID, c.Holder, holders[0])
		}
		p.RecordStart(heatedAt, a, c)
	}
	if c, _ := p.Choose(heatedAt, request(heatedAt, "hot")); c.Holder < 2 {
		t.Errorf("no holder has room: %s is chosen, which is as slow as before", c.Target.ID)
	}
}

// BenchmarkChooseHolders measures Choose with 400 targets in three regions, of which a third are candidates for holders: without
// holders, with objects that are requested equally often, and with one that has all holders.
func BenchmarkChooseHolders(b *testing.B) {
	for _, bb := range []struct {
		name    string
		on      bool
		objects int
	}{{"off", false, 500}, {"on", true, 500}, {"on, hot", true, 1}} {
		b.Run(bb.name, func(b *testing.B) {
			p := newModel(400, currentPicker).vms[0]
			if bb.on {
				WithHolders()(p)
			}
			b.ReportAllocs()
			for i := range b.N {
				now := at(time.Duration(i) * time.Millisecond)
				a := Request{Route: modelRoute, Service: "s", Deadline: now.Add(time.Second), Object: Object(i%bb.objects*2 + 1)}
				if _, reason := p.Choose(now, a); reason != Chosen {
					b.Fatal(reason)
				}
			}
		})
	}
}
