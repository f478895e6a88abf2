// Package kernel runs the services of one process. Services are registered under a name, are started and stopped
// together, and return a dump of their state on request.
package kernel

import (
	"context"
	"encoding/json"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/currantpier/currantpier/kinds"
)

// Service is one part of a process.
type Service interface {
	// Name is unique in a process, in kebab case.
	Name() string
	// Run runs the service until ctx is done. If it returns an error other than the context's, the kernel stops all
	// services of the process.
	Run(ctx context.Context) error
	// Dump returns the state at now as a value that encoding/json can encode. It must not contain secrets.
	Dump(now time.Time) any
}

// Kernel holds the services of one process.
type Kernel struct {
	mu       sync.RWMutex
	services map[string]Service
	// order lists the names in the order of registration, in which the services are started.
	order []string
	// done has a buffer of 1, so that its sender ends even if nothing receives.
	done chan error
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{services: map[string]Service{}, done: make(chan error, 1)}
}

// Register adds a service. It returns a Conflict error if the name is taken.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[s.Name()]; ok {
		return kinds.Errorf(kinds.Conflict, "service %q is already registered", s.Name())
	}
	k.services[s.Name()] = s
	k.order = append(k.order, s.Name())
	return nil
}

// Service returns the service with the given name, or a NotFound error.
func (k *Kernel) Service(name string) (Service, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	s, ok := k.services[name]
	if !ok {
		return nil, kinds.Errorf(kinds.NotFound, "no service %q", name)
	}
	return s, nil
}

// Start runs every registered service in its own goroutine and returns at once. The first service that fails cancels
// the context of the others.
func (k *Kernel) Start(ctx context.Context) {
	g, ctx := errgroup.WithContext(ctx)
	k.mu.RLock()
	for _, name := range k.order {
		s := k.services[name]
		g.Go(func() error { return runService(ctx, s) })
	}
	k.mu.RUnlock()
	go func() { k.done <- g.Wait() }()
}

// Done returns a channel that receives one value after all services have returned: the first error, or nil if the
// services ended because the context passed to Start was done.
func (k *Kernel) Done() <-chan error {
	return k.done
}

// runService runs s. The context's own error counts as a regular end.
func runService(ctx context.Context, s Service) error {
	err := s.Run(ctx)
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return errors.Wrapf(err, "service %s", s.Name())
}

// WriteDump writes the state of every service, or of those named, as one JSON object keyed by name.
func (k *Kernel) WriteDump(w io.Writer, now time.Time, names ...string) error {
	if len(names) == 0 {
		k.mu.RLock()
		names = append(names, k.order...)
		k.mu.RUnlock()
		sort.Strings(names)
	}
	state := make(map[string]any, len(names))
	for _, name := range names {
		s, err := k.Service(name)
		if err != nil {
			return err
		}
		state[name] = s.Dump(now)
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(state), "encode dump")
}
