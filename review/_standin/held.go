package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// cutTime is how long the region is cut off; evacuateAfter is when in it one of its zones is evacuated.
	cutTime       = 5 * time.Second
	evacuateAfter = 800 * time.Millisecond
	contact       = 4 * time.Second // ContactS
	evacuateBound = 5 * time.Second // EvacuateS
)

// held: a region is cut off, and a zone of it is evacuated. It counts the requests that reach targets of the zone later than EvacuateS
// after that, and over ContactS after the end of the cut.
func held(w *world, trouble bool) (bool, error) {
	const zone = "latgale-a"
	var links []*link
	for _, z := range []string{"riga-a", "kurzeme-a", zone, zone, zone, zone} {
		t, err := newTarget(w, fmt.Sprintf("i-%s-%d", z, len(w.targets)), "workshop", z, 6, 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		w.targets = append(w.targets, t)
		if z != zone {
			continue
		}
		l, err := newLink(w.ip(100), t.ln.Addr().String())
		if err != nil {
			return false, err
		}
		links = append(links, l)
		t.mu.Lock()
		t.via = l.ln.Addr().String()
		t.mu.Unlock()
		t.report()
	}
	if err := w.startVMs(2, route("layout-check", "/layout/", "safe", "workshop", 1.2), route("frame-order", "/order/", "unsafe", "workshop", 1.2)); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	answered := map[string]string{}
	for _, v := range w.vms {
		for c := range 16 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				v.keepSending(stop, c%2 == 0, func(id, what string) {
					mu.Lock()
					defer mu.Unlock()
					answered[id] = what
				})
			}()
		}
	}
	time.Sleep(4 * time.Second)
	cutAt := time.Now()
	healAt := cutAt.Add(cutTime)
	if trouble {
		for _, l := range links {
			l.cut(cutAt, healAt)
		}
		w.rec.add("cut", "region", "latgale", "for", cutTime)
	}
	time.Sleep(evacuateAfter)
	w.store.put("op", "evacuate/"+zone, map[string]any{})
	acked := time.Now()
	w.rec.add("evacuate", "zone", zone)
	time.Sleep(time.Until(healAt.Add(8 * time.Second)))
	close(stop)
	clients.Wait()
	late := 0
	for _, t := range w.targets {
		if t.zone != zone {
			continue
		}
		t.mu.Lock()
		for id, at := range t.ranAt {
			if at.After(acked.Add(evacuateBound)) && at.After(healAt.Add(contact)) {
				late++
				w.rec.add("late", "id", id, "target", t.id, "after-evacuation", at.Sub(acked), "client", answered[id])
			}
		}
		t.mu.Unlock()
	}
	w.rec.add("result", "late-after-evacuation", late)
	fmt.Printf("EVAC: %d requests reached the evacuated zone more than 5 s after its evacuation was acknowledged (one breaks the rule)\n", late)
	return late > 0, nil
}

// keepSending sends orders or look-ups on kept connections until stop is closed, and reports how each ended.
func (v *vm) keepSending(stop chan struct{}, orders bool, ended func(id, what string)) {
	for {
		nc, err := net.DialTimeout("tcp", v.address(0), time.Second)
		for err == nil {
			select {
			case <-stop:
				_ = nc.Close()
				return
			case <-time.After(40 * time.Millisecond):
			}
			r := request{id: newID(), method: "GET", path: "/layout/1", deadline: 2500 * time.Millisecond}
			if orders {
				r.method, r.path, r.body, r.deadline = "POST", "/order/1", 300, 3*time.Second
			}
			_ = nc.SetDeadline(time.Now().Add(r.deadline + time.Second))
			v.w.rec.add("send", "vm", v.name, "id", r.id, "request", r.method+" "+r.path)
			a := v.exchange(nc, r)
			v.w.rec.add("answer", "vm", v.name, "id", r.id, "status", a.status, "signature", a.signature, "error", a.err)
			ended(r.id, fmt.Sprintf("%s-ended-with-%d", r.method, a.status))
			err = a.err
		}
		if nc != nil {
			_ = nc.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}
