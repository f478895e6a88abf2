package lists

import (
	"bytes"
	"encoding/json"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

// MaxDocumentBytes is the maximum size of an encoded configuration.
const MaxDocumentBytes = 32 << 20

const allowedOrder = "rows in ascending order, each once"

// Check verifies that the rows of c are valid, sorted and unique, and that each customer's plan has a row in Uses. The
// error has kind BadRequest and wraps a *Problems.
func (c Config) Check() error {
	p := &Problems{}
	p.checkUses(c.Uses)
	p.checkCustomers(c)
	p.checkDrains(c.Drains)
	p.checkMoves(c.Moves)
	return p.asError()
}

func (p *Problems) checkCustomers(c Config) {
	plans := map[ident.PlanName]bool{}
	for _, u := range c.Uses {
		plans[u.Plan] = true
	}
	for i, r := range c.Customers {
		p.checkName("customers", i+1, "customer", string(r.Customer))
		p.checkName("customers", i+1, "plan", string(r.Plan))
		if !plans[r.Plan] {
			p.add("customers", i+1, "plan", string(r.Plan), "a plan of uses")
		}
		if i > 0 && c.Customers[i-1].Customer >= r.Customer {
			p.add("customers", i+1, "customer", string(r.Customer), allowedOrder)
		}
	}
}

func (p *Problems) checkUses(uses []Use) {
	for i, r := range uses {
		p.checkName("uses", i+1, "plan", string(r.Plan))
		p.checkName("uses", i+1, "service", string(r.Service))
		if !validRate(r.Rate) {
			p.add("uses", i+1, "rate", formatRate(r.Rate), allowedRate)
		}
		if r.Weight < 1 || r.Weight > MaxWeight {
			p.add("uses", i+1, "weight", "", allowedWeight)
		}
		if i > 0 && !lessUse(uses[i-1], r) {
			p.add("uses", i+1, "plan", string(r.Plan)+","+string(r.Service), allowedOrder)
		}
	}
}

func (p *Problems) checkDrains(drains []Drain) {
	for i, d := range drains {
		switch d.Scope {
		case ScopeTarget, ScopeVM, ScopeDomain, ScopeRegion:
		default:
			p.add("drains", i+1, "scope", quoteUnlessName(string(d.Scope)), "target, vm, failure-domain or region")
		}
		p.checkName("drains", i+1, "name", d.Name)
		if i > 0 && !lessDrain(drains[i-1], d) {
			p.add("drains", i+1, "name", d.Name, allowedOrder)
		}
	}
}

func (p *Problems) checkMoves(moves []Move) {
	for i, m := range moves {
		p.checkName("moves", i+1, "service", string(m.Service))
		p.checkName("moves", i+1, "from", string(m.From))
		p.checkName("moves", i+1, "to", string(m.To))
		if m.From == m.To {
			p.add("moves", i+1, "to", string(m.To), "a region other than from")
		}
		if m.Share < 1 || m.Share > ident.Whole {
			p.add("moves", i+1, "share", "", "above 0% to 100%")
		}
		if i > 0 && !lessMove(moves[i-1], m) {
			p.add("moves", i+1, "from", string(m.From), allowedOrder)
		}
	}
}

func lessDrain(a, b Drain) bool {
	return a.Scope < b.Scope || a.Scope == b.Scope && a.Name < b.Name
}

// lessMove orders moves by service and origin, which together are unique.
func lessMove(a, b Move) bool {
	return a.Service < b.Service || a.Service == b.Service && a.From < b.From
}

// Encode returns c as canonical JSON: equal configurations have equal bytes. c must pass Check.
func (c Config) Encode() []byte {
	// A nil slice would be encoded as null and an empty one as [].
	if c.Customers == nil {
		c.Customers = []CustomerPlan{}
	}
	if c.Uses == nil {
		c.Uses = []Use{}
	}
	if c.Drains == nil {
		c.Drains = []Drain{}
	}
	if c.Moves == nil {
		c.Moves = []Move{}
	}
	// Marshal fails only for infinite and NaN rates, which Check rejects.
	b, _ := json.Marshal(c)
	return b
}

// Decode parses the output of Encode and checks it. Unknown fields are ignored, so that daemons of different releases can
// run together. The error has kind BadRequest.
func Decode(b []byte) (Config, error) {
	if len(b) > MaxDocumentBytes {
		return Config{}, kinds.Errorf(kinds.BadRequest, "configuration of %d bytes, allowed: at most %d", len(b), MaxDocumentBytes)
	}
	var c Config
	if err := json.Unmarshal(bytes.TrimSpace(b), &c); err != nil {
		return Config{}, kinds.Wrap(kinds.BadRequest, err, "configuration")
	}
	if err := c.Check(); err != nil {
		return Config{}, err
	}
	return c, nil
}
