package fleet

import (
	"fmt"
	"testing"
)

// Guards against a key that identifies another customer than the first one that has it, against a request without a key that is taken
// for a customer's, and against garbage for each request.
func TestCustomerOf(t *testing.T) {
	c := &Config{Customers: []Customer{{Name: "a", Keys: []string{"k1", "k2", ""}}, {Name: "b", Keys: []string{"k2", "k3"}}, {Name: "none"}}}
	c.Index()
	for key, want := range map[string]*Customer{"k1": &c.Customers[0], "k2": &c.Customers[0], "k3": &c.Customers[1], "K1": nil, "k1,k2": nil, "": nil} {
		if got := c.CustomerOf(key); got != want {
			t.Errorf("%q: customer %+v, want %+v", key, got, want)
		}
	}
	if n := testing.AllocsPerRun(100, func() { c.CustomerOf("k1") }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkCustomerOf(b *testing.B) {
	c := &Config{Customers: make([]Customer, 100)}
	for i := range c.Customers {
		for n := range 3 {
			c.Customers[i].Keys = append(c.Customers[i].Keys, fmt.Sprintf("key-of-customer-%d-%032d", i, n))
		}
	}
	c.Index()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if x := &c.Customers[i%100]; c.CustomerOf(x.Keys[i%3]) != x {
			b.Fatal("another customer")
		}
	}
}
