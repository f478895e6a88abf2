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
	// Section is the section's name, with placeholders for the names that follow it, for example "region NAME".
	Section string
	Name    string
	// Default applies if the key is missing. An empty default means that the key is required.
	Default string
	// Allowed describes the values in a few words, for error messages.
	Allowed string
	Meaning string

	set func(d *draft, value string) bool
}

// draft is a Settings while it is being read. region and link are those of the section that is being read.
type draft struct {
	*Settings
	region *Region
	link   *Link
}

// Names of the sections.
const (
	secVM     = "vm"
	secEntry  = "entry"
	secSteer  = "steer"
	secStore  = "store"
	secShift  = "shift"
	secOrders = "orders"
	secLog    = "log"
	secLimits = "limits"
	secRegion = "region NAME"
	secLink   = "link A B"
)

const (
	allowedName   = "1 to 64 letters, digits, '-' or '_'"
	allowedListen = "IP:port, for example 10.0.1.1:7400 or [::1]:7400; port 0 picks a free one"
)

// keys is the only place that holds the defaults. The order is that of docs/settings.md.
var keys = []Key{
	{secVM, "name", "", allowedName, "name of this VM in the platform's list",
		func(d *draft, v string) bool { d.VM.Name = ident.VM(v); return ident.ValidName(v) }},
	{secVM, "region", "", "name of a [region NAME] section", "region of this VM",
		func(d *draft, v string) bool { d.VM.Region = ident.Region(v); return ident.ValidName(v) }},
	{secVM, "failure-domain", "", "a failure domain of the VM's region", "failure domain of this VM",
		func(d *draft, v string) bool { d.VM.Domain = ident.Domain(v); return ident.ValidName(v) }},
	{secVM, "seeds", "none", "none, or up to 16 IP:port separated by commas, ports not 0",
		"control ports of other VMs, asked for the VM list if the platform's cannot be read at the start", setSeeds},

	{secEntry, "listen", "", allowedListen, "address of the entry daemon for callers",
		func(d *draft, v string) bool { return setListen(&d.Entry.Listen, v) }},
	{secEntry, "control-listen", "", allowedListen, "control port of the entry daemon",
		func(d *draft, v string) bool { return setListen(&d.Entry.ControlListen, v) }},

	{secSteer, "control-listen", "", allowedListen, "control port of the steer daemon",
		func(d *draft, v string) bool { return setListen(&d.Steer.ControlListen, v) }},
	{secSteer, "lease-term", "10s", "5s to 60s", "validity of the steering lease without renewal",
		func(d *draft, v string) bool { return setTime(&d.Steer.LeaseTerm, v, 5*time.Second, time.Minute) }},
	{secSteer, "config-interval", "1s", "100ms to 10s", "period of a relay's reads of the configuration",
		func(d *draft, v string) bool {
			return setTime(&d.Steer.ConfigInterval, v, 100*time.Millisecond, 10*time.Second)
		}},
	{secSteer, "plan-interval", "1s", "100ms to 10s",
		"period of the steering decision and of a relay's reads of the plan",
		func(d *draft, v string) bool {
			return setTime(&d.Steer.PlanInterval, v, 100*time.Millisecond, 10*time.Second)
		}},

	{secStore, "address", "", "IP:port, port not 0", "address of the table service and object store",
		func(d *draft, v string) bool { return setListen(&d.Store.Address, v) && d.Store.Address.Port() != 0 }},
	{secStore, "timeout", "2s", "100ms to 10s", "limit of one call; a slower store is handled as down",
		func(d *draft, v string) bool {
			return setTime(&d.Store.Timeout, v, 100*time.Millisecond, 10*time.Second)
		}},

	{secShift, "per-step", "2%", "0.1% to 100%", "largest step of a traffic shift, of a service's traffic",
		func(d *draft, v string) bool { return setPPM(&d.Shift.PerStep, v, ident.Whole/1000) }},
	{secShift, "per-minute", "10%", "0.1% to 100%, at least per-step", "largest shift within one minute",
		func(d *draft, v string) bool { return setPPM(&d.Shift.PerMinute, v, ident.Whole/1000) }},

	{secOrders, "retention", "24h", "1h to 168h", "how long the record of an order answers repeated requests",
		func(d *draft, v string) bool { return setTime(&d.Orders.Retention, v, time.Hour, 168*time.Hour) }},
	{secOrders, "max-records", "200000", "1000 to 10000000", "records of orders in memory of one entry",
		func(d *draft, v string) bool { return setInt(&d.Orders.MaxRecords, v, 1000, 10_000_000) }},
	{secOrders, "flush-interval", "25ms", "5ms to 1s", "shortest time between two journal writes of one entry",
		func(d *draft, v string) bool {
			return setTime(&d.Orders.FlushInterval, v, 5*time.Millisecond, time.Second)
		}},

	{secLog, "level", "info", "debug, info, warn or error", "lowest severity that is logged", setLevel},

	{secLimits, "queue-length", "64", "1 to 10000", "waiting requests per customer and service",
		func(d *draft, v string) bool { return setInt(&d.Limits.QueueLength, v, 1, 10_000) }},
	{secLimits, "max-body", "4MiB", "1KiB to 64MiB", "largest body of a request or an answer",
		func(d *draft, v string) bool { return setSize(&d.Limits.MaxBody, v, 1<<10, 64<<20) }},
	{secLimits, "stop-timeout", "60s", "10s to 10m", "limit of a planned stop",
		func(d *draft, v string) bool {
			return setTime(&d.Limits.StopTimeout, v, 10*time.Second, 10*time.Minute)
		}},
	{secLimits, "lookup-ttl", "5s", "1s to 60s, at most half of stop-timeout", "time for which callers may cache a lookup",
		func(d *draft, v string) bool { return setTime(&d.Limits.LookupTTL, v, time.Second, time.Minute) }},

	{secRegion, "failure-domains", "", "names separated by commas, each in one region only",
		"failure domains of the region", setDomains},

	{secLink, "capacity", "", "1Mbit/s to 1000000Mbit/s, or in Gbit/s", "capacity of the link in each direction",
		setCapacity},
	{secLink, "share", "50%", "1% to 100%", "part of the capacity that steered traffic may use",
		func(d *draft, v string) bool { return setPPM(&d.link.Share, v, ident.Whole/100) }},
}

// Keys returns the documentation of every key.
func Keys() []Key {
	return append([]Key(nil), keys...)
}

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

// number reads a plain decimal number before one of the given units and multiplies it by the unit's factor. The result
// is rounded to an integer.
func number(v string, units map[string]float64) (int64, bool) {
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
	n, ok := number(v, map[string]float64{"%": float64(ident.Whole) / 100})
	*dst = ident.PPM(n)
	return ok && *dst >= low && *dst <= ident.Whole
}

func setSize(dst *int, v string, low, high int) bool {
	n, ok := number(v, map[string]float64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20})
	*dst = int(n)
	return ok && *dst >= low && *dst <= high
}

func setCapacity(d *draft, v string) bool {
	n, ok := number(v, map[string]float64{"Mbit/s": 1, "Gbit/s": 1000})
	d.link.Capacity = ident.Mbps(n)
	return ok && n >= 1 && n <= 1_000_000
}

func setLevel(d *draft, v string) bool {
	d.Log.Level = Level(v)
	switch d.Log.Level {
	case Debug, Info, Warn, Error:
		return true
	}
	return false
}

// maxSeeds bounds the time in which all seeds are asked.
const maxSeeds = 16

func setSeeds(d *draft, v string) bool {
	if v == "none" {
		return true
	}
	for _, addr := range strings.Split(v, ",") {
		var a netip.AddrPort
		if !setListen(&a, strings.TrimSpace(addr)) || a.Port() == 0 {
			return false
		}
		d.VM.Seeds = append(d.VM.Seeds, a.String())
	}
	return len(d.VM.Seeds) <= maxSeeds
}

func setDomains(d *draft, v string) bool {
	for _, name := range strings.Split(v, ",") {
		name = strings.TrimSpace(name)
		if !ident.ValidName(name) {
			return false
		}
		d.region.Domains = append(d.region.Domains, ident.Domain(name))
	}
	sort.Slice(d.region.Domains, func(i, j int) bool { return d.region.Domains[i] < d.region.Domains[j] })
	return true
}
