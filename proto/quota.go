package proto

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/currantpier/currantpier/ident"
)

// QuotaKind says what a QuotaItem is.
type QuotaKind uint8

// The kinds of quota items. Items of other kinds are ignored.
const (
	// QuotaRequest requests tokens from the holder of a pool.
	QuotaRequest QuotaKind = iota + 1
	// QuotaGrant answers a QuotaRequest.
	QuotaGrant
	// QuotaLoanRequest requests a part of a pool in another region.
	QuotaLoanRequest
	// QuotaLoan answers a QuotaLoanRequest.
	QuotaLoan
)

// QuotaMessage is what VMs send each other about customers' quotas.
type QuotaMessage struct {
	// Incarnation is the one with which the sending process started. The numbers of its requests are unique within it.
	Incarnation ident.Incarnation
	Items       []QuotaItem
}

// QuotaItem is a request or an answer that concerns one customer. Fields that a kind does not use are zero.
type QuotaItem struct {
	Kind     QuotaKind
	Customer ident.Customer
	// Number identifies a request of a process. The answer repeats it.
	Number uint64
	// Count is the number of tokens that are requested or granted.
	Count uint32
	// Demand is the sender's recent demand in thousandths of a request per second.
	Demand uint64
	// ReturnedNumber is the number of an earlier request, of whose tokens the sender will not use the number in Returned.
	ReturnedNumber uint64
	Returned       uint32
	// Next is the time until tokens are next expected, in whole milliseconds; zero if all requested tokens were granted.
	Next time.Duration
	// Share is the requested or lent part of a customer's rate and burst in units of 1/QuotaShareUnits.
	Share uint32
	// MilliTokens are the tokens that move to the borrower when a loan begins or grows, in thousandths.
	MilliTokens uint64
}

// QuotaShareUnits is the number of units of a customer's whole rate in QuotaItem.Share.
const QuotaShareUnits = 1024

// Field numbers of a QuotaMessage and, below, of its items.
const (
	quotaIncarnation protowire.Number = iota + 1
	quotaItem
)

const (
	quotaKind protowire.Number = iota + 1
	quotaCustomer
	quotaNumber
	quotaCount
	quotaDemand
	quotaReturnedNumber
	quotaReturned
	quotaNext // milliseconds
	quotaShare
	quotaMilliTokens
)

// maxQuotaNext bounds the time in a message.
const maxQuotaNext = time.Hour

func appendQuota(b []byte, m *QuotaMessage) []byte {
	b = appendUint(b, quotaIncarnation, uint64(m.Incarnation))
	for i := range m.Items {
		b = appendMessage(b, quotaItem, appendQuotaItem(nil, &m.Items[i]))
	}
	return b
}

func appendQuotaItem(b []byte, it *QuotaItem) []byte {
	b = appendUint(b, quotaKind, uint64(it.Kind))
	b = appendString(b, quotaCustomer, string(it.Customer))
	b = appendUint(b, quotaNumber, it.Number)
	b = appendUint(b, quotaCount, uint64(it.Count))
	b = appendUint(b, quotaDemand, it.Demand)
	b = appendUint(b, quotaReturnedNumber, it.ReturnedNumber)
	b = appendUint(b, quotaReturned, uint64(it.Returned))
	b = appendUint(b, quotaNext, uint64(it.Next.Milliseconds()))
	b = appendUint(b, quotaShare, uint64(it.Share))
	return appendUint(b, quotaMilliTokens, it.MilliTokens)
}

func decodeQuota(b []byte) (*QuotaMessage, error) {
	m := &QuotaMessage{}
	err := decodeFields(b, func(x field) (err error) {
		switch x.id {
		case quotaIncarnation:
			m.Incarnation = ident.Incarnation(x.num)
		case quotaItem:
			var it QuotaItem
			it, err = decodeQuotaItem(x.bytes)
			m.Items = append(m.Items, it)
		}
		return err
	})
	return m, err
}

// decodeQuotaItem refuses numbers that don't fit their field: cut, they would be other numbers of tokens.
func decodeQuotaItem(b []byte) (it QuotaItem, err error) {
	err = decodeFields(b, func(x field) error {
		limit := uint64(math.MaxUint32)
		switch x.id {
		case quotaKind:
			it.Kind, limit = QuotaKind(x.num), math.MaxUint8
		case quotaCustomer:
			it.Customer = ident.Customer(x.bytes)
		case quotaNumber:
			it.Number, limit = x.num, math.MaxUint64
		case quotaCount:
			it.Count = uint32(x.num)
		case quotaDemand:
			it.Demand, limit = x.num, math.MaxUint64
		case quotaReturnedNumber:
			it.ReturnedNumber, limit = x.num, math.MaxUint64
		case quotaReturned:
			it.Returned = uint32(x.num)
		case quotaNext:
			it.Next, limit = time.Duration(x.num)*time.Millisecond, uint64(maxQuotaNext.Milliseconds())
		case quotaShare:
			it.Share, limit = uint32(x.num), QuotaShareUnits
		case quotaMilliTokens:
			it.MilliTokens, limit = x.num, math.MaxUint64
		default:
			return nil
		}
		if x.num > limit {
			return errMalformed
		}
		return nil
	})
	return it, err
}
