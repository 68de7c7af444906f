package bramleyfall

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ResultCode identifies the outcome of a decision or request.
// docs/RESULT-CODES.md lists all codes; a test compares the page with the code.
type ResultCode int

// Result codes: 1xx for packets, 2xx for admission, 3xx for configuration
// changes, 4xx for the platform and peers, 5xx for settings and input.
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
	StaleResponse      ResultCode = 409

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
	StaleResponse: "StaleResponse",
	BadSetting:    "BadSetting", BadStatement: "BadStatement", BadTrace: "BadTrace", Mismatch: "Mismatch",
}

// String returns the name of c.
func (c ResultCode) String() string {
	if name, ok := resultNames[c]; ok {
		return name
	}
	return fmt.Sprintf("Result%d", int(c))
}

// ResultCodes returns the names of all codes. The map must not be modified.
func ResultCodes() map[ResultCode]string { return resultNames }

// Error is an error with a result code.
type Error struct {
	Code    ResultCode
	Message string
}

// Error returns the number and name of the code followed by the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", int(e.Code), e.Code, e.Message)
}

// Errorf returns an error with a result code and a stack trace.
func Errorf(code ResultCode, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Code: code, Message: fmt.Sprintf(format, args...)}, 1)
}

// CodeOf returns the result code of err, Unknown if it has none, or OK if err is
// nil.
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

// ErrUnknownOutcome is returned by KeyValueStore.Commit and
// LongPollStore.Commit when the response was lost, so the write may or may not
// have taken effect.
var ErrUnknownOutcome error = &Error{Code: Unknown, Message: "response of the store was lost; the write may have taken effect"}

// ErrHistoryLost is returned by a watch when the store no longer retains the
// changes after the requested revision. Everything must then be read again.
var ErrHistoryLost error = &Error{Code: HistoryLost, Message: "requested revisions are no longer in the history of the store"}

// ErrLeaseLost is returned when a lease has ended.
var ErrLeaseLost error = &Error{Code: LeaseLost, Message: "the lease has ended"}
