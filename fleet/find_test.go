package fleet

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/currantpier/currantpier/ident"
)

// Guards against running a request by a route without homes although a longer prefix with homes matches, or the reverse. Paths are
// compared as they are sent: no decoding, and no removal of dot segments or duplicate slashes.
func TestFindKeepsPathAsSent(t *testing.T) {
	c := &Config{Routes: []Route{
		{Name: "open", Host: "x.example", Prefix: "/"},
		{Name: "homes", Host: "x.example", Prefix: "/h/", Regions: []ident.Region{"a"}},
		{Name: "inner", Host: "x.example", Prefix: "/h/open/"},
	}}
	c.Index()
	want := map[string]RouteName{
		"/h/1": "homes", "/h/": "homes", "/h": "open", "/h/open": "homes", "/h/open/": "inner", "/h/open/1/2/3": "inner",
		"/h//open/": "homes", "//h/1": "open", "/h%2f1": "open", "/h%2fopen/": "open", "/h/open%2f1": "homes", "/%68/1": "open",
		"/h/../1": "homes", "/1/../h/1": "open", "/./h/1": "open", "/h/open/../1": "inner", "/H/1": "open", "/": "open",
	}
	got := map[string]RouteName{}
	for path := range want {
		for _, host := range []string{"x.example", "X.EXAMPLE", "x.example:8080", "X.example:80"} {
			r := c.Find(host, path)
			switch {
			case r == nil:
				t.Errorf("%s %s: no route", host, path)
			case got[path] == "" || got[path] == r.Name:
				got[path] = r.Name
			default:
				t.Errorf("%s %s: %s, but %s for another form of the host", host, path, r.Name, got[path])
			}
		}
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	for _, path := range []string{"", "*", "h/1", "x.example:80"} {
		if r := c.Find("x.example", path); r != nil {
			t.Errorf("%q: route %s, want none", path, r.Name)
		}
	}
}

// Guards against a difference between the index and the definition: the longest prefix that begins the path.
func TestFindIsLongestPrefix(t *testing.T) {
	segments := rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", "b", "ab", "..", ".", "%2f", "a%2f"}), 0, 4)
	rapid.Check(t, func(t *rapid.T) {
		c := &Config{}
		for _, parts := range rapid.SliceOfN(segments, 0, 8).Draw(t, "prefixes") {
			prefix := "/"
			if len(parts) > 0 {
				prefix += strings.Join(parts, "/") + "/"
			}
			c.Routes = append(c.Routes, Route{Host: "x", Prefix: prefix})
		}
		c.Index()
		path := "/" + strings.Join(segments.Draw(t, "path"), "/")
		want := ""
		for _, r := range c.Routes {
			if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > len(want) {
				want = r.Prefix
			}
		}
		got := ""
		if r := c.Find("x", path); r != nil {
			got = r.Prefix
		}
		if got != want {
			t.Fatalf("path %q: prefix %q, want %q", path, got, want)
		}
	})
}
