package hop

import (
	"fmt"
	"net/netip"
)

// Failure is the error of a call that got no complete response: a DialError,
// SendError, NoResponseError, BadResponseError, CutOffError, BodyError, TimeoutError
// or CancelledError.
type Failure interface {
	error
	// Sent reports whether any byte of the call may have reached the peer. If it
	// returns false, the call has not run.
	Sent() bool
	isFailure()
}

// DialError reports a connection that could not be opened.
type DialError struct {
	To  netip.AddrPort
	Err error
	// DeadlineLimited is set if the attempt timed out early because the call had
	// little time left, so that the failure says nothing about the peer.
	DeadlineLimited bool
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to %v: %v", e.To, e.Err) }

// Unwrap returns the error of the dialer or the TLS handshake.
func (e *DialError) Unwrap() error { return e.Err }

// Sent implements Failure.
func (e *DialError) Sent() bool { return false }
func (e *DialError) isFailure() {}

// SendError reports a request that could not be written completely.
type SendError struct {
	To    netip.AddrPort
	Bytes int64
	Err   error
}

func (e *SendError) Error() string {
	return fmt.Sprintf("send to %v failed after %d bytes: %v", e.To, e.Bytes, e.Err)
}

// Unwrap returns the connection's error.
func (e *SendError) Unwrap() error { return e.Err }

// Sent implements Failure. Bytes that the kernel accepted may have arrived.
func (e *SendError) Sent() bool { return e.Bytes > 0 }
func (e *SendError) isFailure() {}

// NoResponseError reports a connection that ended before a response began.
type NoResponseError struct {
	To  netip.AddrPort
	Err error
}

func (e *NoResponseError) Error() string { return fmt.Sprintf("no answer from %v: %v", e.To, e.Err) }

// Unwrap returns the connection's error.
func (e *NoResponseError) Unwrap() error { return e.Err }

// Sent implements Failure.
func (e *NoResponseError) Sent() bool { return true }
func (e *NoResponseError) isFailure() {}

// BadResponseError reports a response that is malformed, belongs to another call, or has
// an end that can't be told from a broken connection.
type BadResponseError struct {
	To     netip.AddrPort
	Reason string
}

func (e *BadResponseError) Error() string { return fmt.Sprintf("answer of %v: %s", e.To, e.Reason) }

// Sent implements Failure.
func (e *BadResponseError) Sent() bool { return true }
func (e *BadResponseError) isFailure() {}

// CutOffError reports a response whose body ended early.
type CutOffError struct {
	To  netip.AddrPort
	Err error
}

func (e *CutOffError) Error() string { return fmt.Sprintf("answer of %v is cut off: %v", e.To, e.Err) }

// Unwrap returns the connection's error.
func (e *CutOffError) Unwrap() error { return e.Err }

// Sent implements Failure.
func (e *CutOffError) Sent() bool { return true }
func (e *CutOffError) isFailure() {}

// BodyError reports a failure to read the request body from the caller.
type BodyError struct {
	Err   error
	Begun bool // any byte of the call was sent
}

func (e *BodyError) Error() string { return fmt.Sprintf("request body: %v", e.Err) }

// Unwrap returns the reader's error.
func (e *BodyError) Unwrap() error { return e.Err }

// Sent implements Failure.
func (e *BodyError) Sent() bool { return e.Begun }
func (e *BodyError) isFailure() {}

// TimeoutError reports a call whose deadline passed.
type TimeoutError struct {
	To    netip.AddrPort
	Begun bool // any byte of the call was sent
}

func (e *TimeoutError) Error() string { return fmt.Sprintf("deadline passed at %v", e.To) }

// Sent implements Failure.
func (e *TimeoutError) Sent() bool { return e.Begun }
func (e *TimeoutError) isFailure() {}

// CancelledError reports a call whose context was cancelled.
type CancelledError struct {
	Begun bool // any byte of the call was sent
	Err   error
}

func (e *CancelledError) Error() string { return fmt.Sprintf("cancelled: %v", e.Err) }

// Unwrap returns the cause of the cancellation.
func (e *CancelledError) Unwrap() error { return e.Err }

// Sent implements Failure.
func (e *CancelledError) Sent() bool { return e.Begun }
func (e *CancelledError) isFailure() {}

// HeaderError reports a header with an invalid value.
type HeaderError struct{ Name, Value string }

func (e *HeaderError) Error() string { return fmt.Sprintf("header %s: %q", e.Name, e.Value) }

// SealError reports a CallHeader value that was not sealed with the fleet key.
type SealError struct{}

func (e *SealError) Error() string { return CallHeader + " was not made by this fleet" }

// UnknownBodyError reports a Body of a type that this package does not define.
type UnknownBodyError struct{ Body Body }

func (e *UnknownBodyError) Error() string { return fmt.Sprintf("body of unknown kind %T", e.Body) }

// UnknownFailureError reports a Failure of a type that this package does not define.
type UnknownFailureError struct{ Failure Failure }

func (e *UnknownFailureError) Error() string {
	return fmt.Sprintf("failure of unknown kind %T: %v", e.Failure, e.Failure)
}
