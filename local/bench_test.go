package local

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"

	"github.com/currantpier/currantpier/front"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/lists"
)

// oneVM is a deployment of one entry VM and one target, to measure the cost of the way through an entry.
func oneVM(service time.Duration) Deployment {
	return Deployment{
		Places: []ident.Place{{Region: "riga", Domain: "riga-a"}}, VMsPerDomain: 1, LinkCapacity: 4000,
		Services:  []Service{{Name: "workshop", PerDomain: 1, Slots: 64, Time: service}},
		Customers: []lists.CustomerPlan{{Customer: "bench-1", Plan: "fitter"}},
		Uses:      []lists.Use{{Plan: "fitter", Service: "workshop", Rate: 1e6, Weight: 10}},
		ListLag:   10 * time.Millisecond,
	}
}

// run sends n requests from a number of workers and returns their latencies and the time for all.
func run(b *testing.B, url string, workers, n int) (*hdrhistogram.Histogram, time.Duration) {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	defer client.CloseIdleConnections()
	all := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			for range n / workers {
				begin := time.Now()
				if err := request(client, url); err != nil {
					b.Error(err)
					return
				}
				_ = h.RecordValue(time.Since(begin).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(h)
		}()
	}
	wg.Wait()
	return all, time.Since(start)
}

func request(client *http.Client, url string) error {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set(front.HeaderCustomer, "bench-1")
	req.Header.Set(front.HeaderKind, front.KindIdempotent)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return &badStatus{resp.StatusCode, string(body)}
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

type badStatus struct {
	status int
	body   string
}

func (e *badStatus) Error() string { return http.StatusText(e.status) + ": " + e.body }

// BenchmarkForward measures, in one run, the same target called directly and through an entry.
func BenchmarkForward(b *testing.B) {
	for _, bc := range []struct {
		name    string
		service time.Duration
		workers int
	}{{"instant-1", 0, 1}, {"instant-16", 0, 16}, {"2ms-1", 2 * time.Millisecond, 1}, {"2ms-32", 2 * time.Millisecond, 32}} {
		b.Run(bc.name, func(b *testing.B) { forward(b, bc.service, bc.workers) })
	}
}

// BenchmarkLookup measures lookups through the HTTP interface; client and entry share the processors of -cpu.
func BenchmarkLookup(b *testing.B) {
	c := startOne(b, 0)
	url := "http://" + c.Addresses[0].Callers + "/v1/lookup?service=workshop&client=192.0.2.1"
	client := &http.Client{}
	await(b, func() bool { return request(client, url) == nil })
	for _, workers := range []int{1, 4, 16} {
		b.Run(strconv.Itoa(workers), func(b *testing.B) {
			n := max(b.N, 100*workers)
			_, took := run(b, url, workers, n)
			b.ReportMetric(float64(n)/took.Seconds(), "lookups/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// await polls until cond holds; a cluster that starts gives no other signal.
func await(b *testing.B, cond func() bool) {
	b.Helper()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for deadline := time.Now().Add(time.Minute); !cond(); <-tick.C {
		if time.Now().After(deadline) {
			b.Fatal("the cluster does not serve")
		}
	}
}

// startOne runs a deployment of one VM until the end of the benchmark.
func startOne(b *testing.B, service time.Duration) *Cluster {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c, err := New(oneVM(service), 0, log.NewNopLogger())
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	if err := c.AcceptInitial(ctx); err != nil {
		b.Fatal(err)
	}
	e, _ := c.Entry(c.Addresses[0].VM)
	await(b, func() bool { return e.NotReady() == "" })
	return c
}

func forward(b *testing.B, service time.Duration, workers int) {
	c := startOne(b, service)
	var direct string
	for _, vm := range c.Platform.VMs() {
		if vm.Service != "" {
			direct = "http://" + vm.Address + "/x"
		}
	}
	through := "http://" + c.Addresses[0].Callers + "/v1/request/workshop/x"
	client := &http.Client{}
	await(b, func() bool { return request(client, through) == nil })
	n := max(b.N, 400*workers)
	b.ResetTimer()
	dh, dt := run(b, direct, workers, n)
	eh, et := run(b, through, workers, n)
	b.ReportMetric(float64(dh.ValueAtQuantile(50)), "direct-p50-µs")
	b.ReportMetric(float64(eh.ValueAtQuantile(50)), "entry-p50-µs")
	b.ReportMetric(float64(eh.ValueAtQuantile(50))/float64(dh.ValueAtQuantile(50)), "p50-ratio")
	b.ReportMetric(float64(n)/dt.Seconds(), "direct-per-s")
	b.ReportMetric(float64(n)/et.Seconds(), "entry-per-s")
	b.ReportMetric(dt.Seconds()/et.Seconds(), "rate-ratio")
	b.ReportMetric(0, "ns/op")
}
