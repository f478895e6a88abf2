package kinds

import (
	"testing"

	"github.com/cockroachdb/errors"
)

// Every kind needs a complete answer and a unique name, and advice that cannot make an order run twice.
func TestAnswersAreComplete(t *testing.T) {
	seen := map[string]bool{}
	for _, k := range All() {
		a := k.Answer()
		if a.Name == "" || a.Status == 0 || a.Retry == "" {
			t.Errorf("kind %d has an incomplete row: %+v", k, a)
		}
		if seen[a.Name] {
			t.Errorf("name %q is used by two kinds", a.Name)
		}
		seen[a.Name] = true
		if got, ok := ByName(a.Name); !ok || got != k {
			t.Errorf("ByName(%q) = %v", a.Name, got)
		}
		if a.Ran == RanUnknown && (a.Retry == RetryNewID || a.Retry == RetryOther) {
			t.Errorf("%s: an order that may have run must not be retried under a new id", a.Name)
		}
	}
	if (Kind(250)).Answer().Name != "internal" {
		t.Error("a value that is not a kind must be treated as internal")
	}
}

func TestOf(t *testing.T) {
	storeDown := Errorf(StoreDown, "dial failed")
	tests := []struct {
		err  error
		want Kind
	}{
		{nil, Answered},
		{errors.New("plain"), Internal},
		{storeDown, StoreDown},
		{errors.Wrap(storeDown, "get plan"), StoreDown},
		{Wrap(Fenced, storeDown, "write plan"), Fenced},
	}
	for _, tt := range tests {
		if got := Of(tt.err); got != tt.want {
			t.Errorf("Of(%v) = %v, want %v", tt.err, got, tt.want)
		}
	}
	if Wrap(Fenced, nil, "x") != nil {
		t.Error("Wrap(nil) must be nil")
	}
}
