package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// lostAnswers is the share of the requests whose answer a target loses: the largest x of answer_lost in the site file. It has
	// a share of 0.6 of the targets; here it is half of them.
	lostAnswers = 0.4
	// lostTime is how long that lasts each time, and lostPause the pause between two times.
	lostTime  = 4 * time.Second
	lostPause = 2 * time.Second
	// attemptClients send safe requests to each VM for attemptTime, half of them on each route.
	attemptClients = 40
	attemptTime    = 48 * time.Second
)

// attempts: targets run requests and their answers are lost, on two safe routes with MaxAttempts 1 and 2. It counts the requests that
// ran on more targets than that.
func attempts(w *world, trouble bool) (bool, error) {
	paths := []string{"/one/", "/two/"}
	var routes []any
	for i, path := range paths {
		r := route("look"+path[1:4], path, "safe", "workshop", 1.2)
		r["MaxAttempts"] = i + 1
		routes = append(routes, r)
	}
	if err := w.deployRoutes(3, 2, 60*time.Millisecond, routes...); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	if trouble {
		go w.loseAnswers(stop)
	}
	var wg sync.WaitGroup
	end := time.Now().Add(attemptTime)
	var mu sync.Mutex
	ids := make([][]string, len(paths))
	for _, v := range w.vms {
		for c := range attemptClients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				sent := v.keepLooking(end, paths[c%2]+"1")
				mu.Lock()
				defer mu.Unlock()
				ids[c%2] = append(ids[c%2], sent...)
			}()
		}
	}
	wg.Wait()
	all := 0
	for i := range paths {
		over := 0
		for _, id := range ids[i] {
			var on []string
			for _, t := range w.targets {
				if t.ran(id) > 0 {
					on = append(on, t.id)
				}
			}
			if len(on) > i+1 {
				over++
				w.rec.add("over", "id", id, "max-attempts", i+1, "ran-on", on)
			}
		}
		w.rec.add("route", "max-attempts", i+1, "requests", len(ids[i]), "on-more-targets", over)
		fmt.Printf("MaxAttempts %d: %d of %d requests ran on more targets\n", i+1, over, len(ids[i]))
		all += over
	}
	w.rec.add("result", "on-more-targets-than-MaxAttempts", all)
	fmt.Printf("BUDGET: %d requests (more than 3 break the rule)\n", all)
	return all > 3, nil
}

// keepLooking sends safe requests on kept connections until end, and returns their ids.
func (v *vm) keepLooking(end time.Time, path string) (ids []string) {
	for time.Now().Before(end) {
		nc, err := net.DialTimeout("tcp", v.address(0), time.Second)
		for err == nil && time.Now().Before(end) {
			r := request{id: newID(), method: "GET", path: path, deadline: 2500 * time.Millisecond}
			ids = append(ids, r.id)
			_ = nc.SetDeadline(time.Now().Add(r.deadline + time.Second))
			v.w.rec.add("send", "vm", v.name, "id", r.id, "request", r.method+" "+r.path)
			a := v.exchange(nc, r)
			v.w.rec.add("answer", "vm", v.name, "id", r.id, "status", a.status, "signature", a.signature, "error", a.err)
			if err = a.err; a.status >= 500 {
				time.Sleep(50 * time.Millisecond)
			}
		}
		if nc != nil {
			_ = nc.Close()
		}
	}
	return ids
}

// loseAnswers makes half of the targets lose answers, for lostTime and again after lostPause, until stop is closed.
func (w *world) loseAnswers(stop chan struct{}) {
	for share := lostAnswers; ; share = lostAnswers - share {
		for i, t := range w.targets {
			if i%2 == 0 {
				t.setLoses(share)
			}
		}
		w.rec.add("targets-lose-answers", "share", share)
		pause := lostPause
		if share > 0 {
			pause = lostTime
		}
		select {
		case <-time.After(pause):
		case <-stop:
			return
		}
	}
}
