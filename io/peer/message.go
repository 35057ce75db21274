package peer

// This file defines the types of messages and the errors of links and calls.

import "fmt"

// Protocol is the newest version of the messages on a link. Nodes of two successive versions work together,
// see version.go. The messages of PlacementHandlers have a version of their own, PlacementProtocol.
const Protocol = 3

// Type is the type of a message, as sent.
type Type uint8

// The types, by the names of the messages in schema/wire. Numbers are never reused.
const (
	TypeHello Type = iota + 1
	TypeProof
	TypePing
	TypeDone
	TypeFault
	TypeAsk
	TypeGrant
	TypeRefuse
	TypeReleases
	TypeWithdraw
	TypeHeldQuery
	TypeHeldReport
	TypePromiseAsk
	TypePromise
	TypeHandover
	TypeDigest
	TypeSuspects
	TypeConfigFetch
	TypeConfig
	TypeLinkAsk
	TypeLinkGrant
	TypeClaimAsk
	TypeClaimVerdict
	TypeClaimEnd
	TypeStateQuery
	TypeState
	TypeNames
	TypePlaceAsk
	TypePlaceAnswer
	TypePlaceNote
	TypeMirrorAsk
	TypeMirror
	TypeCrash
	TypePlaceProgress
	TypeCrashCulprits
	TypeCrashTrial
	TypePlaceSegments
	TypeRolloutReport
	TypeRolloutReply
	TypePlaceInquiry
	TypePlaceReadings

	typeEnd // one more than the last type
)

// control reports whether the message overtakes others: the authority of lease holders and
// the detection of silent links depend on it.
func (t Type) control() bool {
	switch t {
	case TypePing, TypeDone, TypeFault, TypePromiseAsk, TypePromise, TypeHandover:
		return true
	}
	return false
}

// LinkError reports a message that could not be sent, or a request without a response.
type LinkError struct {
	Address string
	Sent    bool // the message may have reached the peer
	Cause   error
}

func (e *LinkError) Error() string {
	return fmt.Sprintf("peer: link to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error { return e.Cause }

// ErrorCode says why a peer did not handle a request.
type ErrorCode int

// The error codes, as sent in a Fault message.
const (
	CodeVersion ErrorCode = iota + 1 // another protocol version
	CodeUnknown                      // no handler for the type
	CodeBusy                         // the handlers' queue is full
	CodeRefused                      // the handler refused; the text says why
)

// RemoteError is the response of a peer that did not handle a request.
type RemoteError struct {
	Code ErrorCode
	Text string
}

func (e *RemoteError) Error() string { return "peer: refused by peer: " + e.Text }

// HelloError reports a link that was not opened because the peer has another protocol
// version or key, or sent no valid hello.
type HelloError struct {
	Cause string
}

func (e *HelloError) Error() string { return "peer: hello: " + e.Cause }

// plainError is an error without details, wrapped in a LinkError.
type plainError string

func (e plainError) Error() string { return "peer: " + string(e) }

// The causes of a LinkError.
const (
	ErrSilent  = plainError("nothing received in time")
	ErrExpired = plainError("no answer in time")
	ErrFull    = plainError("too many messages queued")
	ErrClosed  = plainError("closed")
	ErrBackoff = plainError("last dial failed a moment ago")
	ErrNoKey   = plainError("no peer key set")
)
