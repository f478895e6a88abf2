package proto

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// Messages use the Protocol Buffers wire format, encoded by hand: reflection and generated code would double the memory
// of a small process. Heartbeats are most of the bytes and are therefore encoded as packed columns, one per attribute.
// Decoders skip unknown fields.

// Field numbers of a Message.
const (
	fieldFrom protowire.Number = iota + 1
	fieldRequestMembers
	fieldHeartbeatKeys
	fieldHeartbeatIncarnations
	fieldHeartbeatCounts
	fieldHeartbeatFlags
	fieldVM
	fieldOperatorVersion
	fieldRegistry
	fieldOperatorChange
	fieldConfigVersion
	fieldCold
	fieldQuota
	fieldLoads
)

// Field numbers of a VMInfo.
const (
	vmInfoVM protowire.Number = iota + 1
	vmInfoPeer
	vmInfoCaller
	vmInfoRegion
	vmInfoDomain
	vmInfoIncarnation
	vmInfoCapacity
)

// Field numbers of a RegistryDelta.
const (
	registryFrom protowire.Number = iota + 1
	registryAfter
	registryVersion
	registryRow
	registryOperatorVersion
	registryFull
	registryOperatorSince
)

// Field numbers of an OperatorDelta and, below, of its rows.
const (
	operatorAfter protowire.Number = iota + 1
	operatorVersion
	operatorRow
	operatorWhole
)

const (
	operatorRowKey protowire.Number = iota + 1
	operatorRowValue
	operatorRowVersion
	operatorRowRemoved
)

// Field numbers of a registry row.
const (
	rowID protowire.Number = iota + 1
	rowRemoved
	rowService
	rowAddress
	rowRegion
	rowDomain
	rowSlots
	rowReady
	rowWarmupLeft // microseconds
	rowSequence
	rowStartTime // milliseconds since the Unix epoch
	rowLapsed
	rowAssumed // 1 if the remaining warm-up is an assumption; builds that don't know the field take it for stated
)

// Flags of a heartbeat. The remaining high bits of their byte hold its age.
const (
	flagReady = 1 << iota
	flagStopping
	ageShift = iota
)

const (
	// ageUnit is the unit of an encoded heartbeat age, which is rounded up.
	ageUnit = 50 * time.Millisecond
	// maxAge is the greatest age that can be encoded; older heartbeats get this age.
	maxAge = (1<<(8-ageShift) - 1) * ageUnit
)

// errMalformed is returned for bytes that are no valid message.
var errMalformed = errors.New("malformed message")

// Append appends the encoded message to b.
func (m *Message) Append(b []byte) []byte {
	b = appendMessage(b, fieldFrom, appendVMInfo(nil, &m.From))
	b = appendBool(b, fieldRequestMembers, m.RequestMembers)
	b = appendHeartbeats(b, m.Heartbeats)
	for i := range m.VMs {
		b = appendMessage(b, fieldVM, appendVMInfo(nil, &m.VMs[i]))
	}
	b = appendUint(b, fieldOperatorVersion, uint64(m.OperatorVersion))
	b = appendUint(b, fieldConfigVersion, uint64(m.ConfigVersion))
	if m.Registry != nil {
		b = appendMessage(b, fieldRegistry, appendRegistryDelta(nil, m.Registry))
	}
	if m.OperatorChange != nil {
		b = appendMessage(b, fieldOperatorChange, appendOperatorDelta(nil, m.OperatorChange))
	}
	for i := range m.Cold {
		b = appendMessage(b, fieldCold, appendColdReport(nil, &m.Cold[i]))
	}
	if m.Quota != nil {
		b = appendMessage(b, fieldQuota, appendQuota(nil, m.Quota))
	}
	return appendLoadReports(b, m.Loads)
}

// appendHeartbeats appends the heartbeats as one column per attribute.
func appendHeartbeats(b []byte, beats []Heartbeat) []byte {
	if len(beats) == 0 {
		return b
	}
	var keys, incarnations, counts, flags []byte
	for _, x := range beats {
		keys = protowire.AppendFixed64(keys, uint64(x.VM))
		incarnations = protowire.AppendVarint(incarnations, uint64(x.Incarnation))
		counts = protowire.AppendVarint(counts, x.Count)
		var f byte
		if x.Ready {
			f |= flagReady
		}
		if x.Stopping {
			f |= flagStopping
		}
		age := min((max(x.Age, 0)+ageUnit-1)/ageUnit, maxAge/ageUnit)
		flags = append(flags, f|byte(age)<<ageShift)
	}
	b = appendMessage(b, fieldHeartbeatKeys, keys)
	b = appendMessage(b, fieldHeartbeatIncarnations, incarnations)
	b = appendMessage(b, fieldHeartbeatCounts, counts)
	return appendMessage(b, fieldHeartbeatFlags, flags)
}

func appendVMInfo(b []byte, i *VMInfo) []byte {
	b = appendString(b, vmInfoVM, string(i.VM))
	b = appendString(b, vmInfoPeer, i.PeerAddress)
	b = appendString(b, vmInfoCaller, i.CallerAddress)
	b = appendString(b, vmInfoRegion, string(i.Place.Region))
	b = appendString(b, vmInfoDomain, string(i.Place.Domain))
	b = appendUint(b, vmInfoIncarnation, uint64(i.Incarnation))
	return appendUint(b, vmInfoCapacity, uint64(i.Capacity))
}

func appendRegistryDelta(b []byte, n *RegistryDelta) []byte {
	b = appendString(b, registryFrom, string(n.From))
	b = appendUint(b, registryAfter, uint64(n.After))
	b = appendUint(b, registryVersion, uint64(n.Version))
	for i := range n.Rows {
		b = appendMessage(b, registryRow, appendRow(nil, &n.Rows[i]))
	}
	b = appendUint(b, registryOperatorVersion, uint64(n.OperatorVersion))
	b = appendBool(b, registryFull, n.Full)
	return appendUint(b, registryOperatorSince, uint64(n.OperatorSince))
}

func appendOperatorDelta(b []byte, c *OperatorDelta) []byte {
	b = appendUint(b, operatorAfter, uint64(c.After))
	b = appendUint(b, operatorVersion, uint64(c.Version))
	for _, r := range c.Rows {
		row := appendString(nil, operatorRowKey, r.Key)
		if len(r.Value) > 0 {
			row = appendMessage(row, operatorRowValue, r.Value)
		}
		row = appendUint(row, operatorRowVersion, uint64(r.Version))
		b = appendMessage(b, operatorRow, appendBool(row, operatorRowRemoved, r.Removed))
	}
	return appendBool(b, operatorWhole, c.Full)
}

func appendRow(b []byte, r *fleet.Row) []byte {
	b = appendString(b, rowID, string(r.ID))
	b = appendBool(b, rowRemoved, r.Removed)
	b = appendString(b, rowService, string(r.Service))
	b = appendString(b, rowAddress, r.Address)
	b = appendString(b, rowRegion, string(r.Place.Region))
	b = appendString(b, rowDomain, string(r.Place.Domain))
	b = appendUint(b, rowSlots, uint64(r.Slots))
	b = appendBool(b, rowReady, r.Ready)
	b = appendUint(b, rowWarmupLeft, uint64(r.WarmupLeft.Microseconds()))
	b = appendUint(b, rowSequence, r.Sequence)
	b = appendUint(b, rowStartTime, uint64(r.StartedUnixMS))
	b = appendBool(b, rowLapsed, r.Lapsed)
	return appendBool(b, rowAssumed, r.Assumed)
}

// appendMessage appends a length-delimited field, also if it is empty. appendString, appendBool and appendUint omit
// empty and zero values.
func appendMessage(b []byte, n protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), v)
}

func appendString(b []byte, n protowire.Number, v string) []byte {
	if v == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), v)
}

func appendBool(b []byte, n protowire.Number, v bool) []byte {
	if !v {
		return b
	}
	return appendUint(b, n, 1)
}

func appendUint(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

// field is one decoded field: a varint in num, or a length-delimited value in bytes.
type field struct {
	id    protowire.Number
	num   uint64
	bytes []byte
}

// decodeFields calls f for each field of b. Fields of other wire types get id 0, which no message uses.
func decodeFields(b []byte, f func(field) error) error {
	for len(b) > 0 {
		id, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		x := field{id: id}
		switch typ {
		case protowire.VarintType:
			x.num, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			x.bytes, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(id, typ, b)
			x.id = 0
		}
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		if err := f(x); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMessage decodes a message that Append has encoded.
func DecodeMessage(b []byte) (Message, error) {
	var m Message
	var cols heartbeatColumns
	err := decodeFields(b, func(x field) (err error) {
		switch x.id {
		case fieldFrom:
			m.From, err = decodeVMInfo(x.bytes)
		case fieldRequestMembers:
			m.RequestMembers = x.num != 0
		case fieldHeartbeatKeys:
			cols.keys = x.bytes
		case fieldHeartbeatIncarnations:
			cols.incarnations = x.bytes
		case fieldHeartbeatCounts:
			cols.counts = x.bytes
		case fieldHeartbeatFlags:
			cols.flags = x.bytes
		case fieldVM:
			var i VMInfo
			i, err = decodeVMInfo(x.bytes)
			m.VMs = append(m.VMs, i)
		case fieldOperatorVersion:
			m.OperatorVersion = ident.Version(x.num)
		case fieldConfigVersion:
			m.ConfigVersion = ident.Version(x.num)
		case fieldRegistry:
			m.Registry, err = decodeRegistryDelta(x.bytes)
		case fieldOperatorChange:
			m.OperatorChange, err = decodeOperatorDelta(x.bytes)
		case fieldCold:
			var c fleet.ColdReport
			c, err = decodeColdReport(x.bytes)
			m.Cold = append(m.Cold, c)
		case fieldQuota:
			m.Quota, err = decodeQuota(x.bytes)
		case fieldLoads:
			m.Loads, err = decodeLoadReports(m.Loads, x.bytes)
		}
		return err
	})
	if err != nil {
		return Message{}, err
	}
	m.Heartbeats, err = cols.decode()
	return m, err
}

// heartbeatColumns are the encoded heartbeats: each column holds one value per heartbeat. flags has one byte per heartbeat
// and so gives their number.
type heartbeatColumns struct{ keys, incarnations, counts, flags []byte }

// decode consumes the columns. Surplus values in the other columns are ignored.
func (c *heartbeatColumns) decode() ([]Heartbeat, error) {
	if len(c.flags) == 0 {
		return nil, nil
	}
	beats := make([]Heartbeat, 0, len(c.flags))
	for _, f := range c.flags {
		key, n := protowire.ConsumeFixed64(c.keys)
		inc, n2 := protowire.ConsumeVarint(c.incarnations)
		count, n3 := protowire.ConsumeVarint(c.counts)
		if n < 0 || n2 < 0 || n3 < 0 {
			return nil, errMalformed
		}
		c.keys, c.incarnations, c.counts = c.keys[n:], c.incarnations[n2:], c.counts[n3:]
		beats = append(beats, Heartbeat{
			VM: Key(key), Incarnation: ident.Incarnation(inc), Count: count, Ready: f&flagReady != 0, Stopping: f&flagStopping != 0,
			Age: time.Duration(f>>ageShift) * ageUnit,
		})
	}
	return beats, nil
}

func decodeVMInfo(b []byte) (i VMInfo, err error) {
	err = decodeFields(b, func(x field) error {
		switch x.id {
		case vmInfoVM:
			i.VM = ident.VM(x.bytes)
		case vmInfoPeer:
			i.PeerAddress = string(x.bytes)
		case vmInfoCaller:
			i.CallerAddress = string(x.bytes)
		case vmInfoRegion:
			i.Place.Region = ident.Region(x.bytes)
		case vmInfoDomain:
			i.Place.Domain = ident.Domain(x.bytes)
		case vmInfoIncarnation:
			i.Incarnation = ident.Incarnation(x.num)
		case vmInfoCapacity:
			i.Capacity = int64(x.num)
		}
		return nil
	})
	return i, err
}

func decodeRegistryDelta(b []byte) (*RegistryDelta, error) {
	n := &RegistryDelta{}
	err := decodeFields(b, func(x field) (err error) {
		switch x.id {
		case registryFrom:
			n.From = ident.VM(x.bytes)
		case registryAfter:
			n.After = ident.Version(x.num)
		case registryVersion:
			n.Version = ident.Version(x.num)
		case registryRow:
			var r fleet.Row
			r, err = decodeRow(x.bytes)
			n.Rows = append(n.Rows, r)
		case registryOperatorVersion:
			n.OperatorVersion = ident.Version(x.num)
		case registryOperatorSince:
			n.OperatorSince = ident.Version(x.num)
		case registryFull:
			n.Full = x.num != 0
		}
		return err
	})
	return n, err
}

func decodeOperatorDelta(b []byte) (*OperatorDelta, error) {
	c := &OperatorDelta{}
	err := decodeFields(b, func(x field) (err error) {
		switch x.id {
		case operatorAfter:
			c.After = ident.Version(x.num)
		case operatorVersion:
			c.Version = ident.Version(x.num)
		case operatorRow:
			var r feed.Row
			r, err = decodeOperatorRow(x.bytes)
			c.Rows = append(c.Rows, r)
		case operatorWhole:
			c.Full = x.num != 0
		}
		return err
	})
	return c, err
}

func decodeOperatorRow(b []byte) (r feed.Row, err error) {
	err = decodeFields(b, func(x field) error {
		switch x.id {
		case operatorRowKey:
			r.Key = string(x.bytes)
		case operatorRowValue:
			r.Value = slices.Clone(x.bytes)
		case operatorRowVersion:
			r.Version = ident.Version(x.num)
		case operatorRowRemoved:
			r.Removed = x.num != 0
		}
		return nil
	})
	return r, err
}

func decodeRow(b []byte) (r fleet.Row, err error) {
	err = decodeFields(b, func(x field) error {
		switch x.id {
		case rowID:
			r.ID = ident.Target(x.bytes)
		case rowRemoved:
			r.Removed = x.num != 0
		case rowService:
			r.Service = ident.Service(x.bytes)
		case rowAddress:
			r.Address = string(x.bytes)
		case rowRegion:
			r.Place.Region = ident.Region(x.bytes)
		case rowDomain:
			r.Place.Domain = ident.Domain(x.bytes)
		case rowSlots:
			r.Slots = ident.Slots(x.num)
		case rowReady:
			r.Ready = x.num != 0
		case rowWarmupLeft:
			r.WarmupLeft = time.Duration(x.num) * time.Microsecond
		case rowSequence:
			r.Sequence = x.num
		case rowLapsed:
			r.Lapsed = x.num != 0
		case rowAssumed:
			r.Assumed = x.num != 0
		case rowStartTime:
			r.StartedUnixMS = int64(x.num)
		}
		return nil
	})
	return r, err
}
