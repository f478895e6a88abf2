package peers

import (
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/proto"
)

// Load reports may take a VM at most 8 KB/s, half of what control traffic may cost, whatever the size of the fleet: 4 times a second a
// datagram of at most 400 bytes to each of 5 VMs.
const (
	// ReportInterval is the time between two messages with load reports.
	ReportInterval = 250 * time.Millisecond
	// reportFanout is the number of VMs that receive each of them.
	reportFanout = 5
	// maxReportPacketBytes bounds such a datagram with its packetHeaderBytes of IP and UDP headers. reportMessageBytes is what it has
	// besides the reports: the encoding, the empty sender, and tag and length of the reports.
	maxReportPacketBytes = 400
	packetHeaderBytes    = 28
	reportMessageBytes   = 1 + 2 + 3
	// MaxReports is the greatest number of load reports in a message.
	MaxReports = (maxReportPacketBytes - packetHeaderBytes - reportMessageBytes) / proto.LoadReportBytes
)

// ReportMessages returns the messages that carry load reports to a few live VMs of the own region, chosen at random; none without
// reports. They state no sender, whose addresses would take the room of ten reports.
func (v *View) ReportMessages(now time.Time, list []fleet.LoadReport) []Packet {
	if len(list) == 0 {
		return nil
	}
	var region []*member
	for _, m := range v.sorted {
		if m.Place.Region == v.self.Place.Region && v.alive(now, m) {
			region = append(region, m)
		}
	}
	msg := &proto.Message{Loads: list[:min(len(list), MaxReports)]}
	var packets []Packet
	for _, m := range v.sample(region, reportFanout) {
		packets = append(packets, Packet{To: m.PeerAddress, Message: msg})
	}
	return packets
}

// OnLoadReports sets a function that receives the load reports of other VMs. It must be set before Run, must not block and must not keep
// the list. Without it, reports are ignored.
func (s *Service) OnLoadReports(f func(list []fleet.LoadReport)) { s.onLoadReports = f }

// SendLoadReports sends load reports to a few VMs of the region and returns the number of reports sent, counted at each receiver.
func (s *Service) SendLoadReports(list []fleet.LoadReport) int {
	s.mu.Lock()
	packets := s.view.ReportMessages(s.clock(), list)
	s.mu.Unlock()
	s.send(packets)
	sent := 0
	for _, p := range packets {
		sent += len(p.Message.Loads)
	}
	return sent
}
