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
	fieldHello
	fieldBeatKeys
	fieldBeatIncarnations
	fieldBeatCounts
	fieldBeatFlags
	fieldInfo
	fieldOperator
	fieldNews
	fieldChange
)

// Field numbers of an Info.
const (
	infoVM protowire.Number = iota + 1
	infoPeer
	infoCaller
	infoRegion
	infoDomain
	infoIncarnation
)

// Field numbers of News.
const (
	newsFrom protowire.Number = iota + 1
	newsAfter
	newsVersion
	newsRow
	newsOperator
	newsWhole
)

// Field numbers of a Change and, below, of its rows.
const (
	changeAfter protowire.Number = iota + 1
	changeVersion
	changeRow
	changeWhole
)

const (
	changeRowKey protowire.Number = iota + 1
	changeRowValue
	changeRowVersion
	changeRowRemoved
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
)

// Flags of a heartbeat. The remaining high bits of their byte hold its age.
const (
	flagReady = 1 << iota
	flagLeaving
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
	b = appendMessage(b, fieldFrom, appendInfo(nil, &m.From))
	b = appendBool(b, fieldHello, m.RequestMembers)
	b = appendBeats(b, m.Heartbeats)
	for i := range m.VMs {
		b = appendMessage(b, fieldInfo, appendInfo(nil, &m.VMs[i]))
	}
	b = appendUint(b, fieldOperator, uint64(m.OperatorVersion))
	if m.Registry != nil {
		b = appendMessage(b, fieldNews, appendNews(nil, m.Registry))
	}
	if m.OperatorChange != nil {
		b = appendMessage(b, fieldChange, appendChange(nil, m.OperatorChange))
	}
	return b
}

// appendBeats appends the heartbeats as one column per attribute.
func appendBeats(b []byte, beats []Heartbeat) []byte {
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
			f |= flagLeaving
		}
		age := min((max(x.Age, 0)+ageUnit-1)/ageUnit, maxAge/ageUnit)
		flags = append(flags, f|byte(age)<<ageShift)
	}
	b = appendMessage(b, fieldBeatKeys, keys)
	b = appendMessage(b, fieldBeatIncarnations, incarnations)
	b = appendMessage(b, fieldBeatCounts, counts)
	return appendMessage(b, fieldBeatFlags, flags)
}

func appendInfo(b []byte, i *VMInfo) []byte {
	b = appendString(b, infoVM, string(i.VM))
	b = appendString(b, infoPeer, i.PeerAddress)
	b = appendString(b, infoCaller, i.CallerAddress)
	b = appendString(b, infoRegion, string(i.Place.Region))
	b = appendString(b, infoDomain, string(i.Place.Domain))
	return appendUint(b, infoIncarnation, uint64(i.Incarnation))
}

func appendNews(b []byte, n *RegistryDelta) []byte {
	b = appendString(b, newsFrom, string(n.From))
	b = appendUint(b, newsAfter, uint64(n.After))
	b = appendUint(b, newsVersion, uint64(n.Version))
	for i := range n.Rows {
		b = appendMessage(b, newsRow, appendRow(nil, &n.Rows[i]))
	}
	b = appendUint(b, newsOperator, uint64(n.OperatorVersion))
	return appendBool(b, newsWhole, n.Full)
}

func appendChange(b []byte, c *OperatorDelta) []byte {
	b = appendUint(b, changeAfter, uint64(c.After))
	b = appendUint(b, changeVersion, uint64(c.Version))
	for _, r := range c.Rows {
		row := appendString(nil, changeRowKey, r.Key)
		if len(r.Value) > 0 {
			row = appendMessage(row, changeRowValue, r.Value)
		}
		row = appendUint(row, changeRowVersion, uint64(r.Version))
		b = appendMessage(b, changeRow, appendBool(row, changeRowRemoved, r.Removed))
	}
	return appendBool(b, changeWhole, c.Whole)
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
	return appendBool(b, rowLapsed, r.Lapsed)
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
	var cols beatColumns
	err := decodeFields(b, func(x field) (err error) {
		switch x.id {
		case fieldFrom:
			m.From, err = decodeInfo(x.bytes)
		case fieldHello:
			m.RequestMembers = x.num != 0
		case fieldBeatKeys:
			cols.keys = x.bytes
		case fieldBeatIncarnations:
			cols.incarnations = x.bytes
		case fieldBeatCounts:
			cols.counts = x.bytes
		case fieldBeatFlags:
			cols.flags = x.bytes
		case fieldInfo:
			var i VMInfo
			i, err = decodeInfo(x.bytes)
			m.VMs = append(m.VMs, i)
		case fieldOperator:
			m.OperatorVersion = ident.Version(x.num)
		case fieldNews:
			m.Registry, err = decodeNews(x.bytes)
		case fieldChange:
			m.OperatorChange, err = decodeChange(x.bytes)
		}
		return err
	})
	if err != nil {
		return Message{}, err
	}
	m.Heartbeats, err = cols.decode()
	return m, err
}

// beatColumns are the encoded heartbeats: each column holds one value per heartbeat. flags has one byte per heartbeat
// and so gives their number.
type beatColumns struct{ keys, incarnations, counts, flags []byte }

// decode consumes the columns. Surplus values in the other columns are ignored.
func (c *beatColumns) decode() ([]Heartbeat, error) {
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
			VM: Key(key), Incarnation: ident.Incarnation(inc), Count: count, Ready: f&flagReady != 0, Stopping: f&flagLeaving != 0,
			Age: time.Duration(f>>ageShift) * ageUnit,
		})
	}
	return beats, nil
}

func decodeInfo(b []byte) (i VMInfo, err error) {
	err = decodeFields(b, func(x field) error {
		switch x.id {
		case infoVM:
			i.VM = ident.VM(x.bytes)
		case infoPeer:
			i.PeerAddress = string(x.bytes)
		case infoCaller:
			i.CallerAddress = string(x.bytes)
		case infoRegion:
			i.Place.Region = ident.Region(x.bytes)
		case infoDomain:
			i.Place.Domain = ident.Domain(x.bytes)
		case infoIncarnation:
			i.Incarnation = ident.Incarnation(x.num)
		}
		return nil
	})
	return i, err
}

func decodeNews(b []byte) (*RegistryDelta, error) {
	n := &RegistryDelta{}
	err := decodeFields(b, func(x field) (err error) {
		switch x.id {
		case newsFrom:
			n.From = ident.VM(x.bytes)
		case newsAfter:
			n.After = ident.Version(x.num)
		case newsVersion:
			n.Version = ident.Version(x.num)
		case newsRow:
			var r fleet.Row
			r, err = decodeRow(x.bytes)
			n.Rows = append(n.Rows, r)
		case newsOperator:
			n.OperatorVersion = ident.Version(x.num)
		case newsWhole:
			n.Full = x.num != 0
		}
		return err
	})
	return n, err
}

func decodeChange(b []byte) (*OperatorDelta, error) {
	c := &OperatorDelta{}
	err := decodeFields(b, func(x field) (err error) {
		switch x.id {
		case changeAfter:
			c.After = ident.Version(x.num)
		case changeVersion:
			c.Version = ident.Version(x.num)
		case changeRow:
			var r feed.Row
			r, err = decodeChangeRow(x.bytes)
			c.Rows = append(c.Rows, r)
		case changeWhole:
			c.Whole = x.num != 0
		}
		return err
	})
	return c, err
}

func decodeChangeRow(b []byte) (r feed.Row, err error) {
	err = decodeFields(b, func(x field) error {
		switch x.id {
		case changeRowKey:
			r.Key = string(x.bytes)
		case changeRowValue:
			r.Value = slices.Clone(x.bytes)
		case changeRowVersion:
			r.Version = ident.Version(x.num)
		case changeRowRemoved:
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
		case rowStartTime:
			r.StartedUnixMS = int64(x.num)
		}
		return nil
	})
	return r, err
}
