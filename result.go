package bramleyfall

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ResultCode numbers the outcome of a decision or a request. The table in
// docs/RESULT-CODES.md lists all codes; a test compares the two.
type ResultCode int

// The result codes. 100s are about packets, 200s about admission, 300s about
// changes of configuration, 400s about the platform and peers, 500s about
// settings and input.
const (
	OK ResultCode = 0

	UnknownService   ResultCode = 101
	NoUpstream       ResultCode = 102
	MalformedPacket  ResultCode = 103
	WrongUpstream    ResultCode = 104
	WrongService     ResultCode = 105
	NoOwner          ResultCode = 106
	FlowSilent       ResultCode = 107
	UpstreamRestart  ResultCode = 108
	StaleInstance    ResultCode = 109
	OpeningAbandoned ResultCode = 110

	NotRunWarmUp      ResultCode = 201
	NotRunFull        ResultCode = 202
	NotRunDraining    ResultCode = 203
	NotRunDomainOut   ResultCode = 204
	NotRunClass       ResultCode = 205
	NotRunUnavailable ResultCode = 206
	PassedForBalance  ResultCode = 207
	NotRunFailing     ResultCode = 208

	InForce     ResultCode = 300
	Accepted    ResultCode = 301
	NotAccepted ResultCode = 302
	LostRace    ResultCode = 303
	Unknown     ResultCode = 304
	NoService   ResultCode = 305
	Unsafe      ResultCode = 306

	PlatformAway       ResultCode = 401
	PlatformRolledBack ResultCode = 402
	PeerAway           ResultCode = 404
	BadSeal            ResultCode = 405
	HistoryLost        ResultCode = 406
	LeaseLost          ResultCode = 407
	MalformedMessage   ResultCode = 408

	BadSetting   ResultCode = 501
	BadStatement ResultCode = 502
	BadTrace     ResultCode = 503
	Mismatch     ResultCode = 504
)

var resultNames = map[ResultCode]string{
	OK:             "OK",
	UnknownService: "UnknownService", NoUpstream: "NoUpstream", MalformedPacket: "MalformedPacket",
	WrongUpstream: "WrongUpstream", WrongService: "WrongService", NoOwner: "NoOwner",
	FlowSilent: "FlowSilent", UpstreamRestart: "UpstreamRestart", StaleInstance: "StaleInstance",
	OpeningAbandoned: "OpeningAbandoned",
	NotRunWarmUp:     "NotRunWarmUp", NotRunFull: "NotRunFull", NotRunDraining: "NotRunDraining",
	NotRunDomainOut: "NotRunDomainOut", NotRunClass: "NotRunClass", NotRunUnavailable: "NotRunUnavailable",
	PassedForBalance: "PassedForBalance", NotRunFailing: "NotRunFailing",
	InForce: "InForce", Accepted: "Accepted", NotAccepted: "NotAccepted", LostRace: "LostRace",
	Unknown: "Unknown", NoService: "NoService", Unsafe: "Unsafe",
	PlatformAway: "PlatformAway", PlatformRolledBack: "PlatformRolledBack",
	PeerAway: "PeerAway", BadSeal: "BadSeal",
	HistoryLost: "HistoryLost", LeaseLost: "LeaseLost", MalformedMessage: "MalformedMessage",
	BadSetting: "BadSetting", BadStatement: "BadStatement", BadTrace: "BadTrace", Mismatch: "Mismatch",
}

// String returns the name of the code.
func (c ResultCode) String() string {
	if name, ok := resultNames[c]; ok {
		return name
	}
	return fmt.Sprintf("Result%d", int(c))
}

// ResultCodes returns all codes with their names.
func ResultCodes() map[ResultCode]string { return resultNames }

// Error is an error with a result code.
type Error struct {
	Code    ResultCode
	Message string
}

// Error returns the code's number and name with the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", int(e.Code), e.Code, e.Message)
}

// Errorf returns an error with a result code and a stack trace.
func Errorf(code ResultCode, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Code: code, Message: fmt.Sprintf(format, args...)}, 1)
}

// CodeOf returns the result code of err, or Unknown if it has none. It returns
// OK for nil.
func CodeOf(err error) ResultCode {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Unknown
}

// ErrUnknownOutcome is returned by Platform.Commit when the answer was lost:
// the write may or may not have taken effect.
var ErrUnknownOutcome error = &Error{Code: Unknown, Message: "the platform's answer was lost"}

// ErrHistoryLost is returned by a watch when the changes after its revision
// are no longer kept: everything is to be read again.
var ErrHistoryLost error = &Error{Code: HistoryLost, Message: "the store has dropped the history"}

// ErrLeaseLost is returned when a lease has ended.
var ErrLeaseLost error = &Error{Code: LeaseLost, Message: "the lease has ended"}
