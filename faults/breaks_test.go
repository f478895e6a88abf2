package faults

import (
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/lease"
	"github.com/currantpier/currantpier/once"
	"github.com/currantpier/currantpier/share"
	"github.com/currantpier/currantpier/shift"
	"github.com/currantpier/currantpier/store"
)

func breakOwner(w *world, o *once.Owner) orderOwner      { return o }
func breakFollower(w *world, f *shift.Follower) follower { return f }
func breakHolder(w *world, h *share.Holder) slotHolder   { return h }
func breakFence(w *world, k *lease.Keeper, now time.Time) ([]store.Op, ident.Term, error) {
	op, term, err := k.Fence(now)
	return []store.Op{op}, term, err
}

var known = map[check]string{loanOutlives: "TestRestartedLender"}
var breaks []struct {
	name, protocol string
	check          check
}
var notProved []string

const header = "# Fault matrix\n"
const breaksIntro = ""
