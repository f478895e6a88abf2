package peers

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/proto"
)

// Guards against load reports that cost more than 8 KB/s, that go to other regions, to a dead VM or always to the same ones, and against
// messages without reports.
func TestReportMessages(t *testing.T) {
	const dead = 6
	for _, vms := range []int{1, 12, 85} {
		w := newNetwork(vms, 0)
		w.run(5 * time.Second)
		if vms > dead {
			w.down[address(dead)] = true
			w.run(6 * time.Second)
		}
		v, receivers, most := w.views[address(0)], map[string]int{}, 0
		for range 200 {
			packets, bytes := v.ReportMessages(w.now, make([]fleet.LoadReport, 2*MaxReports)), 0
			for _, p := range packets {
				receivers[p.To]++
				bytes += packetHeaderBytes + len(proto.AppendDatagram(nil, p.Message))
				if to := w.views[p.To]; to == v || to.self.Place.Region != v.self.Place.Region || p.To == address(dead) {
					t.Fatalf("%d VMs: a message from %s to %s", vms, v.self.VM, to.self.VM)
				}
			}
			most = max(most, bytes*int(time.Second/ReportInterval))
		}
		t.Logf("%d VMs: at most %d bytes per second", vms, most)
		if most > 8<<10 {
			t.Errorf("%d VMs: %d bytes per second", vms, most)
		}
		if want := map[int]int{1: 0, 12: 2, 85: 27}[vms]; len(receivers) != want {
			t.Errorf("%d VMs: %d receivers, want %d: %v", vms, len(receivers), want, receivers)
		}
		if packets := v.ReportMessages(w.now, nil); packets != nil {
			t.Errorf("%d VMs: %d messages without reports", vms, len(packets))
		}
	}
}

// Guards against reports that are lost between sender and receiver, and against a message of reports that changes the view of a VM or
// causes a reply.
func TestLoadReportsArrive(t *testing.T) {
	w := newNetwork(12, 0)
	w.run(5 * time.Second)
	clock := func() time.Time { return w.now }
	conn, replies := &recordingConn{}, &recordingConn{}
	from, to := NewService(w.views[address(0)], conn, nil, clock, nil), NewService(w.views[address(3)], replies, nil, clock, nil)
	list := []fleet.LoadReport{{Target: 7, Load: 3, Pace: 25, Age: 40 * time.Millisecond}, {Target: 8}}
	if sent := from.SendLoadReports(list); sent != 6 || len(conn.sent) != 3 {
		t.Errorf("%d reports sent to %v, want 6 to 3 VMs", sent, conn.sent)
	}
	datagram := proto.AppendDatagram(nil, from.view.ReportMessages(w.now, list)[0].Message)
	members := len(to.view.members)
	to.handleDatagram(datagram) // without a function that receives reports
	var got []fleet.LoadReport
	to.OnLoadReports(func(list []fleet.LoadReport) { got = append(got, list...) })
	to.handleDatagram(datagram)
	if d := cmp.Diff(list, got); d != "" || len(replies.sent) > 0 || len(to.view.members) != members || to.badDatagrams != 0 {
		t.Errorf("%s; replies to %v, %d members, %d bad datagrams", d, replies.sent, len(to.view.members), to.badDatagrams)
	}
}
