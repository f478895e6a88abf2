package front

import (
	"net/netip"

	"github.com/valyala/fasthttp"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/lookup"
	"github.com/currantpier/currantpier/member"
	"github.com/currantpier/currantpier/node"
)

// Directory is the data from which lookups are answered. It is immutable.
type Directory struct {
	VMs *lookup.Directory
	// Blocks maps client addresses to places. While it is nil, every client is assumed to be at the place of this VM.
	Blocks *lookup.Table
	// Members holds the address of each VM.
	Members *node.Snapshot
}

// NewDirectory returns the directory of the members of s that are neither unknown nor dead. blocks may be nil.
func NewDirectory(s *node.Snapshot, blocks *lookup.Table) *Directory {
	vms := make([]lookup.EntryVM, 0, len(s.Members))
	for _, m := range s.Members {
		if m.State == member.Unknown || m.State == member.Dead {
			continue
		}
		vms = append(vms, lookup.EntryVM{
			VM: m.VM, Place: m.Place, Leaving: m.State == member.Leaving, Suspected: m.State == member.Suspected,
		})
	}
	return &Directory{VMs: lookup.NewDirectory(vms), Blocks: blocks, Members: s}
}

// LookupResponse is the JSON response to a lookup.
type LookupResponse struct {
	Service ident.Service `json:"service"`
	TTLMs   int64         `json:"ttl-ms"`
	// Ticket is empty while this VM accepts no new orders.
	Ticket  string        `json:"ticket,omitempty"`
	Entries []LookupEntry `json:"entries"`
}

// LookupEntry is one entry VM in a LookupResponse.
type LookupEntry struct {
	VM      ident.VM     `json:"vm"`
	Address string       `json:"address"`
	Region  ident.Region `json:"region"`
	Domain  ident.Domain `json:"failure-domain"`
}

// maxLookupEntries is the maximum number of VMs that lookup.Directory.AppendNearest returns.
const maxLookupEntries = 20

func (f *Front) handleLookup(r *fasthttp.RequestCtx) {
	f.lookups.Mark(1)
	args := r.QueryArgs()
	svc := string(args.Peek("service"))
	if !ident.ValidName(svc) {
		f.refuse(r, kinds.Errorf(kinds.BadRequest, "parameter service: %q is not a service name", svc))
		return
	}
	client, err := f.clientAddr(r, args)
	if err != nil {
		f.refuse(r, err)
		return
	}
	d := f.directory.Load()
	answer := LookupResponse{Service: ident.Service(svc), TTLMs: f.ttl.Milliseconds()}
	for _, vm := range d.VMs.AppendNearest(make([]ident.VM, 0, maxLookupEntries), client, f.clientPlace(d, client)) {
		if m, ok := d.Members.Member(vm); ok {
			answer.Entries = append(answer.Entries, LookupEntry{vm, m.Address, m.Place.Region, m.Place.Domain})
		}
	}
	answer.Ticket, _ = f.ticket()
	if len(answer.Entries) == 0 {
		f.refuse(r, kinds.Errorf(kinds.Stopping, "no entry VM is known yet"))
		return
	}
	f.outcomes[kinds.Answered].Inc(1)
	writeJSON(r, fasthttp.StatusOK, answer)
}

// clientPlace returns the place of a client, or that of this VM if the client's is not known.
func (f *Front) clientPlace(d *Directory, client netip.Addr) ident.Place {
	if d.Blocks != nil {
		if i, ok := d.Blocks.Find(client); ok {
			return d.Blocks.Place(i)
		}
	}
	return f.self.Place
}

// clientAddr returns the client parameter of a lookup or, without one, the address of the caller.
func (f *Front) clientAddr(r *fasthttp.RequestCtx, args *fasthttp.Args) (netip.Addr, error) {
	if s := string(args.Peek("client")); s != "" {
		a, err := netip.ParseAddr(s)
		if err != nil {
			return netip.Addr{}, kinds.Errorf(kinds.BadRequest, "parameter client: %q is not an IP address", s)
		}
		return a.Unmap(), nil
	}
	a, _ := netip.AddrFromSlice(r.RemoteIP())
	return a.Unmap(), nil
}
