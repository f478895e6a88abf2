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

// oneVM is a deployment of one entry VM and one target, for measuring the cost of forwarding through an entry.
func oneVM(serviceTime time.Duration) Deployment {
	return Deployment{
		Places: []ident.Place{{Region: "riga", Domain: "riga-a"}}, VMsPerDomain: 1, LinkCapacity: 4000,
		Services:  []Service{{Name: "workshop", PerDomain: 1, Slots: 64, Time: serviceTime}},
		Customers: []lists.CustomerPlan{{Customer: "bench-1", Plan: "fitter"}},
		Uses:      []lists.Use{{Plan: "fitter", Service: "workshop", Rate: 1e6, Weight: 10}},
		ListLag:   10 * time.Millisecond,
	}
}

// measure sends requests from the given number of workers and returns their latencies in microseconds and the total
// time.
func measure(b *testing.B, url string, workers, requests int) (*hdrhistogram.Histogram, time.Duration) {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	defer client.CloseIdleConnections()
	merged := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			for range requests / workers {
				begin := time.Now()
				if err := sendRequest(client, url); err != nil {
					b.Error(err)
					return
				}
				_ = h.RecordValue(time.Since(begin).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			merged.Merge(h)
		}()
	}
	wg.Wait()
	return merged, time.Since(start)
}

func sendRequest(client *http.Client, url string) error {
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
		return &statusError{resp.StatusCode, string(body)}
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string { return http.StatusText(e.status) + ": " + e.body }

// BenchmarkForward measures requests to the same target directly and through an entry, in one run.
func BenchmarkForward(b *testing.B) {
	for _, bc := range []struct {
		name        string
		serviceTime time.Duration
		workers     int
	}{{"instant-1", 0, 1}, {"instant-16", 0, 16}, {"2ms-1", 2 * time.Millisecond, 1}, {"2ms-32", 2 * time.Millisecond, 32}} {
		b.Run(bc.name, func(b *testing.B) { benchmarkForward(b, bc.serviceTime, bc.workers) })
	}
}

// BenchmarkLookup measures lookups over HTTP. Client and entry share the processors given by -cpu.
func BenchmarkLookup(b *testing.B) {
	c := startOneVM(b, 0)
	url := "http://" + c.Addresses[0].Callers + "/v1/lookup?service=workshop&client=192.0.2.1"
	client := &http.Client{}
	waitUntil(b, func() bool { return sendRequest(client, url) == nil })
	for _, workers := range []int{1, 4, 16} {
		b.Run(strconv.Itoa(workers), func(b *testing.B) {
			n := max(b.N, 100*workers)
			_, took := measure(b, url, workers, n)
			b.ReportMetric(float64(n)/took.Seconds(), "lookups/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// waitUntil polls until cond holds; a starting cluster offers no other way to observe readiness.
func waitUntil(b *testing.B, cond func() bool) {
	b.Helper()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for deadline := time.Now().Add(time.Minute); !cond(); <-tick.C {
		if time.Now().After(deadline) {
			b.Fatal("the cluster did not become ready within a minute")
		}
	}
}

// startOneVM runs a deployment of one VM until the end of the benchmark.
func startOneVM(b *testing.B, serviceTime time.Duration) *Cluster {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c, err := New(oneVM(serviceTime), 0, log.NewNopLogger())
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
	waitUntil(b, func() bool { return e.NotReady() == "" })
	return c
}

func benchmarkForward(b *testing.B, serviceTime time.Duration, workers int) {
	c := startOneVM(b, serviceTime)
	var direct string
	for _, vm := range c.Platform.VMs() {
		if vm.Service != "" {
			direct = "http://" + vm.Address + "/x"
		}
	}
	viaEntry := "http://" + c.Addresses[0].Callers + "/v1/request/workshop/x"
	client := &http.Client{}
	waitUntil(b, func() bool { return sendRequest(client, viaEntry) == nil })
	n := max(b.N, 400*workers)
	b.ResetTimer()
	directLatency, directTime := measure(b, direct, workers, n)
	entryLatency, entryTime := measure(b, viaEntry, workers, n)
	b.ReportMetric(float64(directLatency.ValueAtQuantile(50)), "direct-p50-µs")
	b.ReportMetric(float64(entryLatency.ValueAtQuantile(50)), "entry-p50-µs")
	b.ReportMetric(float64(entryLatency.ValueAtQuantile(50))/float64(directLatency.ValueAtQuantile(50)), "p50-ratio")
	b.ReportMetric(float64(n)/directTime.Seconds(), "direct-per-s")
	b.ReportMetric(float64(n)/entryTime.Seconds(), "entry-per-s")
	b.ReportMetric(directTime.Seconds()/entryTime.Seconds(), "rate-ratio")
	b.ReportMetric(0, "ns/op")
}
