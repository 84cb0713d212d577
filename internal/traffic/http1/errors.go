package http1

import (
	"fmt"
	"time"
)

// PeerLeftError is the cause of a call's context once its peer has gone.
type PeerLeftError struct{ Peer string }

func (e *PeerLeftError) Error() string { return "peer " + e.Peer + " has left" }

// SlowSenderError tells of a request body that stopped coming.
type SlowSenderError struct{ After time.Duration }

func (e *SlowSenderError) Error() string {
	return fmt.Sprintf("no byte of the request body came for %v or up to the call's deadline", e.After)
}

// BodyTooLargeError tells of a request body over the limit.
type BodyTooLargeError struct{ Limit int64 }

func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("the request body has more than %d bytes", e.Limit)
}

// BodyCutOffError tells of a request body that its sender did not finish.
type BodyCutOffError struct{ Err error }

func (e *BodyCutOffError) Error() string {
	return fmt.Sprintf("the request body is not whole: %v", e.Err)
}

// Unwrap returns the reader's own error.
func (e *BodyCutOffError) Unwrap() error { return e.Err }

// LengthError tells of an answer whose body is not as long as it declared.
type LengthError struct{ Declared, Written int64 }

func (e *LengthError) Error() string {
	return fmt.Sprintf("answer declared %d bytes and has %d", e.Declared, e.Written)
}

// WriteError tells of an answer that could not be written to its peer.
type WriteError struct{ Err error }

func (e *WriteError) Error() string { return fmt.Sprintf("write answer: %v", e.Err) }

// Unwrap returns the connection's own error.
func (e *WriteError) Unwrap() error { return e.Err }

// DrainError tells of calls that were cut off because the time for a graceful
// stop ran out.
type DrainError struct {
	Cut int
	Err error
}

func (e *DrainError) Error() string {
	return fmt.Sprintf("stop cut off %d connections: %v", e.Cut, e.Err)
}

// Unwrap returns why the stop could not wait longer.
func (e *DrainError) Unwrap() error { return e.Err }

// AcceptError tells of a listener that takes no more connections.
type AcceptError struct{ Err error }

func (e *AcceptError) Error() string { return fmt.Sprintf("accept: %v", e.Err) }

// Unwrap returns the listener's own error.
func (e *AcceptError) Unwrap() error { return e.Err }

// PanicError holds what a handler panicked with.
type PanicError struct{ Value any }

func (e *PanicError) Error() string { return fmt.Sprintf("handler panicked: %v", e.Value) }
