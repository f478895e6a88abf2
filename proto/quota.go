package proto

import (
	"time"

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
	// QuotaLoanRequest requests a part of a pool in another failure domain.
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
	// Share is the requested or lent part of a pool in units of 1/QuotaShareUnits.
	Share uint32
	// MilliTokens are the tokens that move to the borrower when a loan begins or grows, in thousandths.
	MilliTokens uint64
}

// QuotaShareUnits is the number of units of a whole pool in QuotaItem.Share.
const QuotaShareUnits = 1024
