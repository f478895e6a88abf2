package config

import (
	"math"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// Key documents one key of the settings file. docs/settings.md has one table row for each.
type Key struct {
	// Section is the name of the section, with placeholders for its parameters, for example "region NAME".
	Section string
	Name    string
	// Default applies if the key is missing. An empty default means that the key is required.
	Default string
	// Allowed describes the allowed values, for error messages.
	Allowed string
	Meaning string

	// set parses value and stores it in b. It reports whether the value is allowed.
	set func(b *settingsBuilder, value string) bool
}

// settingsBuilder holds the settings that are being parsed. region and link are the destinations of the keys in the
// section that is being parsed.
type settingsBuilder struct {
	*Settings
	region *Region
	link   *Link
}

// Names of the sections, with placeholders for their parameters.
const (
	sectionVM     = "vm"
	sectionEntry  = "entry"
	sectionSteer  = "steer"
	sectionStore  = "store"
	sectionShift  = "shift"
	sectionOrders = "orders"
	sectionLog    = "log"
	sectionLimits = "limits"
	sectionRegion = "region NAME"
	sectionLink   = "link A B"
)

const (
	allowedName   = "1 to 64 letters, digits, '-' or '_'"
	allowedListen = "IP:port, for example 10.0.1.1:7400 or [::1]:7400; port 0 picks a free one"
)

// keys defines every key, in the order of docs/settings.md. No other place holds defaults.
var keys = []Key{
	{sectionVM, "name", "", allowedName, "name of this VM in the platform's list",
		func(b *settingsBuilder, v string) bool { b.VM.Name = ident.VM(v); return ident.ValidName(v) }},
	{sectionVM, "region", "", "name of a [region NAME] section", "region of this VM",
		func(b *settingsBuilder, v string) bool { b.VM.Region = ident.Region(v); return ident.ValidName(v) }},
	{sectionVM, "failure-domain", "", "a failure domain of the VM's region", "failure domain of this VM",
		func(b *settingsBuilder, v string) bool { b.VM.Domain = ident.Domain(v); return ident.ValidName(v) }},
	{sectionVM, "seeds", "none", "none, or up to 16 IP:port separated by commas, ports not 0",
		"control ports of other VMs, asked for the VM list if the platform's cannot be read at the start", setSeeds},

	{sectionEntry, "listen", "", allowedListen, "address of the entry daemon for callers",
		func(b *settingsBuilder, v string) bool { return setListen(&b.Entry.Listen, v) }},
	{sectionEntry, "control-listen", "", allowedListen, "control port of the entry daemon",
		func(b *settingsBuilder, v string) bool { return setListen(&b.Entry.ControlListen, v) }},

	{sectionSteer, "control-listen", "", allowedListen, "control port of the steer daemon",
		func(b *settingsBuilder, v string) bool { return setListen(&b.Steer.ControlListen, v) }},
	{sectionSteer, "lease-term", "10s", "5s to 60s", "validity of the steering lease without renewal",
		func(b *settingsBuilder, v string) bool {
			return setTime(&b.Steer.LeaseTerm, v, 5*time.Second, time.Minute)
		}},
	{sectionSteer, "config-interval", "1s", "100ms to 10s", "period of a relay's reads of the configuration",
		func(b *settingsBuilder, v string) bool {
			return setTime(&b.Steer.ConfigInterval, v, 100*time.Millisecond, 10*time.Second)
		}},
	{sectionSteer, "plan-interval", "1s", "100ms to 10s",
		"period of the steering decision and of a relay's reads of the plan",
		func(b *settingsBuilder, v string) bool {
			return setTime(&b.Steer.PlanInterval, v, 100*time.Millisecond, 10*time.Second)
		}},

	{sectionStore, "address", "", "IP:port, port not 0", "address of the table service and object store",
		func(b *settingsBuilder, v string) bool {
			return setListen(&b.Store.Address, v) && b.Store.Address.Port() != 0
		}},
	{sectionStore, "timeout", "2s", "100ms to 10s", "limit of one call; a slower store is handled as down",
		func(b *settingsBuilder, v string) bool {
			return setTime(&b.Store.Timeout, v, 100*time.Millisecond, 10*time.Second)
		}},

	{sectionShift, "per-step", "2%", "0.1% to 100%", "largest step of a traffic shift, of a service's traffic",
		func(b *settingsBuilder, v string) bool { return setPPM(&b.Shift.PerStep, v, ident.Whole/1000) }},
	{sectionShift, "per-minute", "10%", "0.1% to 100%, at least per-step", "largest shift within one minute",
		func(b *settingsBuilder, v string) bool { return setPPM(&b.Shift.PerMinute, v, ident.Whole/1000) }},

	{sectionOrders, "retention", "24h", "1h to 168h", "how long the record of an order answers repeated requests",
		func(b *settingsBuilder, v string) bool {
			return setTime(&b.Orders.Retention, v, time.Hour, 168*time.Hour)
		}},
	{sectionOrders, "max-records", "200000", "1000 to 10000000", "records of orders in memory of one entry",
		func(b *settingsBuilder, v string) bool { return setInt(&b.Orders.MaxRecords, v, 1000, 10_000_000) }},
	{sectionOrders, "flush-interval", "25ms", "5ms to 1s", "shortest time between two journal writes of one entry",
		func(b *settingsBuilder, v string) bool {
			return setTime(&b.Orders.FlushInterval, v, 5*time.Millisecond, time.Second)
		}},

	{sectionLog, "level", "info", "debug, info, warn or error", "lowest severity that is logged", setLevel},

	{sectionLimits, "queue-length", "64", "1 to 10000", "waiting requests per customer and service",
		func(b *settingsBuilder, v string) bool { return setInt(&b.Limits.QueueLength, v, 1, 10_000) }},
	{sectionLimits, "max-body", "4MiB", "1KiB to 64MiB", "largest body of a request or an answer",
		func(b *settingsBuilder, v string) bool { return setSize(&b.Limits.MaxBody, v, 1<<10, 64<<20) }},
	{sectionLimits, "stop-timeout", "60s", "10s to 10m", "limit of a planned stop",
		func(b *settingsBuilder, v string) bool {
			return setTime(&b.Limits.StopTimeout, v, 10*time.Second, 10*time.Minute)
		}},
	{sectionLimits, "lookup-ttl", "5s", "1s to 60s, at most half of stop-timeout", "time for which callers may cache a lookup",
		func(b *settingsBuilder, v string) bool {
			return setTime(&b.Limits.LookupTTL, v, time.Second, time.Minute)
		}},

	{sectionRegion, "failure-domains", "", "names separated by commas, each in one region only",
		"failure domains of the region", setDomains},

	{sectionLink, "capacity", "", "1Mbit/s to 1000000Mbit/s, or in Gbit/s", "capacity of the link in each direction",
		setCapacity},
	{sectionLink, "share", "50%", "1% to 100%", "part of the capacity that steered traffic may use",
		func(b *settingsBuilder, v string) bool { return setPPM(&b.link.Share, v, ident.Whole/100) }},
}

// Keys returns every key, in the order of docs/settings.md.
func Keys() []Key {
	return append([]Key(nil), keys...)
}

// The set functions below parse v, store the result and report whether it is an allowed value. The bounds low and high
// are inclusive.

func setListen(dst *netip.AddrPort, v string) bool {
	a, err := netip.ParseAddrPort(v)
	*dst = a
	return err == nil && a.Addr().Zone() == ""
}

func setTime(dst *time.Duration, v string, low, high time.Duration) bool {
	t, err := time.ParseDuration(v)
	*dst = t
	return err == nil && t >= low && t <= high
}

func setInt(dst *int, v string, low, high int) bool {
	n, err := strconv.Atoi(v)
	*dst = n
	return err == nil && n >= low && n <= high
}

// parseNumber parses a plain decimal number with one of the given units and returns its product with the unit's factor,
// rounded to an integer. It reports false for a malformed value and for a product above math.MaxInt32.
func parseNumber(v string, units map[string]float64) (int64, bool) {
	i := strings.LastIndexAny(v, "0123456789.") + 1
	factor, ok := units[v[i:]]
	if !ok || strings.Trim(v[:i], "0123456789.") != "" {
		return 0, false
	}
	f, err := strconv.ParseFloat(v[:i], 64)
	if err != nil || f*factor > math.MaxInt32 {
		return 0, false
	}
	return int64(math.Round(f * factor)), true
}

func setPPM(dst *ident.PPM, v string, low ident.PPM) bool {
	n, ok := parseNumber(v, map[string]float64{"%": float64(ident.Whole) / 100})
	*dst = ident.PPM(n)
	return ok && *dst >= low && *dst <= ident.Whole
}

func setSize(dst *int, v string, low, high int) bool {
	n, ok := parseNumber(v, map[string]float64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20})
	*dst = int(n)
	return ok && *dst >= low && *dst <= high
}

func setCapacity(b *settingsBuilder, v string) bool {
	n, ok := parseNumber(v, map[string]float64{"Mbit/s": 1, "Gbit/s": 1000})
	b.link.Capacity = ident.Mbps(n)
	return ok && n >= 1 && n <= 1_000_000
}

func setLevel(b *settingsBuilder, v string) bool {
	b.Log.Level = Level(v)
	switch b.Log.Level {
	case Debug, Info, Warn, Error:
		return true
	}
	return false
}

// maxSeeds is the maximum number of seeds. It bounds the time to query all of them.
const maxSeeds = 16

func setSeeds(b *settingsBuilder, v string) bool {
	if v == "none" {
		return true
	}
	for _, addr := range strings.Split(v, ",") {
		var a netip.AddrPort
		if !setListen(&a, strings.TrimSpace(addr)) || a.Port() == 0 {
			return false
		}
		b.VM.Seeds = append(b.VM.Seeds, a.String())
	}
	return len(b.VM.Seeds) <= maxSeeds
}

func setDomains(b *settingsBuilder, v string) bool {
	for _, name := range strings.Split(v, ",") {
		name = strings.TrimSpace(name)
		if !ident.ValidName(name) {
			return false
		}
		b.region.Domains = append(b.region.Domains, ident.Domain(name))
	}
	sort.Slice(b.region.Domains, func(i, j int) bool { return b.region.Domains[i] < b.region.Domains[j] })
	return true
}
