package main

import (
	"fmt"
	"time"
)

func route(name, prefix, kind, service string, timeout float64) map[string]any {
	return map[string]any{"Name": name, "Host": host, "Prefix": prefix, "Type": kind, "TimeoutS": timeout, "AimS": 0.5, "Priority": 1,
		"Service": service, "MaxAttempts": 2, "SessionAffinity": true, "AllowedRegions": []string{}}
}

func service(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConnections": 390, "Protocol": "h1", "Tls": false, "WarmupS": 3.0,
		"WarmupPerS": 11.0}
}

// limits are those of the example in `fleetbench wire`.
func limits() map[string]any {
	return map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15}
}

// deploy starts the store, targets in each zone and the VMs, with one safe and one unsafe route, and waits until the VMs are in
// touch.
func (w *world) deploy(vms, targetsPerZone int, work time.Duration, timeout float64) error {
	return w.deployRoutes(vms, targetsPerZone, work, route("layout-check", "/layout/", "safe", "workshop", timeout),
		route("frame-order", "/order/", "unsafe", "workshop", timeout))
}

// deployRoutes is deploy with other routes.
func (w *world) deployRoutes(vms, targetsPerZone int, work time.Duration, routes ...any) error {
	for _, z := range zoneNames {
		for i := range targetsPerZone {
			t, err := newTarget(w, fmt.Sprintf("i-%s-%d", z, i), "workshop", z, 6, work)
			if err != nil {
				return err
			}
			w.targets = append(w.targets, t)
		}
	}
	return w.startVMs(vms, routes...)
}

// startVMs writes the desired state and starts the VMs, one in each zone in turn.
func (w *world) startVMs(vms int, routes ...any) error {
	w.store.put("op", "config", map[string]any{"Version": "r7", "Routes": routes, "Services": []any{service("workshop")}, "Limits": limits()})
	for i := range vms {
		w.addVM(i+1, zoneNames[i%len(zoneNames)])
	}
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // ContactS
	return nil
}

// ran returns how often targets ran a request.
func (w *world) ran(id string) int {
	n := 0
	for _, t := range w.targets {
		n += t.ran(id)
	}
	return n
}
