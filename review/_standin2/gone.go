package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// In the script gone, some clients send several safe requests on one connection and leave before their time limit.
const (
	goneRounds = 20
	// gonePipelined is the number of requests that a client sends before the first answer.
	gonePipelined = 24
	// goneLeave is when a client that leaves closes its connection, after it has sent its requests.
	goneLeave = 200 * time.Millisecond
	// goneWork is the work of each request, below the route's timeout of 1.2 s.
	goneWork = 950
	// goneSlack is the time after the close that the rule allows.
	goneSlack = 500 * time.Millisecond
)

// runGone checks GONE: half a second after a client has closed its connection, targets may be at work on at most a quarter of
// its requests that would have lasted so long, and at most a few of its requests may reach a target later.
func runGone(record string, trouble bool) (bool, error) {
	w, err := newWorld(record, 6, 4, 284)
	if err != nil {
		return false, err
	}
	defer w.close()
	closedAt := map[string]time.Time{}
	answered := 0
	var mu sync.Mutex
	for round := range goneRounds {
		var wg sync.WaitGroup
		// In every second round, three of ten clients leave; one of these, and two of the others, send several requests at once.
		for c := range 10 {
			leaves := c < 3 && trouble && round%2 == 0
			n := 1
			if c == 0 || c > 7 {
				n = gonePipelined
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				ids, at, got := pipelineClient(w, w.vms[(round+c)%len(w.vms)], fmt.Sprintf("g%d-%d", round, c), n, leaves)
				mu.Lock()
				defer mu.Unlock()
				answered += got
				if leaves {
					for _, id := range ids {
						closedAt[id] = at
					}
				}
			}()
		}
		wg.Wait()
		time.Sleep(1300 * time.Millisecond)
	}
	long, atWork, late := 0, 0, 0
	for id, list := range w.runs.byID() {
		at, left := closedAt[id]
		if !left {
			continue
		}
		for _, x := range list {
			end := x.ended
			if end.IsZero() {
				end = time.Now()
			}
			w.logf("run %s at %s: arrived %+.3f s, began %+.3f s, ended %+.3f s from the close, dropped %v", id, x.target, x.arrived.Sub(at).Seconds(),
				x.began.Sub(at).Seconds(), end.Sub(at).Seconds(), x.dropped)
			if x.arrived.Sub(at) > goneSlack {
				late++
				continue
			}
			if x.began.Add(goneWork*time.Millisecond).Sub(at) > goneSlack {
				long++
				if end.Sub(at) > goneSlack {
					atWork++
				}
			}
		}
	}
	w.logRuns()
	w.logf("answered %d; of clients that left: %d requests would have lasted over 0.5 s after the close, targets were at work on %d of them then, %d reached a target later", answered, long, atWork, late)
	fmt.Printf("at work 0.5 s after the close: %d of %d; reached a target later than that: %d; answered to clients that stayed: %d\n", atWork, long, late, answered)
	return atWork*4 > long || late > 5, nil
}

// pipelineClient sends n safe requests at once on a new connection. It closes the connection after goneLeave if it leaves, and else
// reads all answers. It returns the ids, when it closed, and the number of whole answers.
func pipelineClient(w *world, v *vm, name string, n int, leaves bool) (ids []string, closed time.Time, answered int) {
	nc, err := net.DialTimeout("tcp", v.at(portCaller), time.Second)
	if err != nil {
		w.logf("client %s: %v", name, err)
		return nil, time.Time{}, 0
	}
	defer func() { _ = nc.Close() }()
	var b strings.Builder
	for i := range n {
		id := fmt.Sprintf("%s-%d", name, i)
		ids = append(ids, id)
		fmt.Fprintf(&b, "GET /safe/w%d HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Currantpier-Affinity-Key: %s\r\n%s: 2500\r\n\r\n", goneWork, host, headerAttempt, id, id, headerDeadline)
	}
	if _, err := io.WriteString(nc, b.String()); err != nil {
		return ids, time.Now(), 0
	}
	if leaves {
		time.Sleep(goneLeave)
		_ = nc.Close()
		w.logf("client %s sent %d requests to %s and left after %v", name, n, v.name, goneLeave)
		return ids, time.Now(), 0
	}
	_ = nc.SetReadDeadline(time.Now().Add(5 * time.Second))
	br := bufio.NewReader(nc)
	for i := range n {
		resp, err := http.ReadResponse(br, &http.Request{Method: "GET"})
		if err != nil {
			w.logf("client %s: answer %d: %v", name, i, err)
			break
		}
		body, err := io.ReadAll(resp.Body)
		if err == nil && resp.StatusCode == 200 && string(body) == "answer to "+ids[i]+"\n" {
			answered++
		}
	}
	w.logf("client %s sent %d requests to %s and got %d answers", name, n, v.name, answered)
	return ids, time.Time{}, answered
}
