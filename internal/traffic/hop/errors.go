package hop

import (
	"fmt"
	"net/netip"
)

// Failure is why a call got no answer: a DialError, SendError, NoAnswerError,
// BadAnswerError, CutOffError, BodyError, TimeoutError or CancelledError.
type Failure interface {
	error
	// Sent reports whether any byte of the call may have reached the far side;
	// where none has, the call is known not to have run.
	Sent() bool
	isFailure()
}

// DialError tells of a connection that could not be opened.
type DialError struct {
	To  netip.AddrPort
	Err error
	// Short tells that the call had too little time to learn of the peer.
	Short bool
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to %v: %v", e.To, e.Err) }

// Unwrap returns the dialler's own error.
func (e *DialError) Unwrap() error { return e.Err }

// Sent implements Failure.
func (e *DialError) Sent() bool { return false }
func (e *DialError) isFailure() {}

// SendError tells of a call that could not be written whole.
type SendError struct {
	To    netip.AddrPort
	Bytes int64
	Err   error
}

func (e *SendError) Error() string {
	return fmt.Sprintf("send to %v failed after %d bytes: %v", e.To, e.Bytes, e.Err)
}

// Unwrap returns the connection's own error.
func (e *SendError) Unwrap() error { return e.Err }

// Sent implements Failure; what the kernel took may have arrived.
func (e *SendError) Sent() bool { return e.Bytes > 0 }
func (e *SendError) isFailure() {}

// NoAnswerError tells of a connection that ended before an answer began.
type NoAnswerError struct {
	To  netip.AddrPort
	Err error
}

func (e *NoAnswerError) Error() string { return fmt.Sprintf("no answer from %v: %v", e.To, e.Err) }

// Unwrap returns the connection's own error.
func (e *NoAnswerError) Unwrap() error { return e.Err }

// Sent implements Failure.
func (e *NoAnswerError) Sent() bool { return true }
func (e *NoAnswerError) isFailure() {}

// BadAnswerError tells of an answer that can't be read, or whose end can't be
// told from a connection that was cut.
type BadAnswerError struct {
	To     netip.AddrPort
	Reason string
}

func (e *BadAnswerError) Error() string { return fmt.Sprintf("answer of %v: %s", e.To, e.Reason) }

// Sent implements Failure.
func (e *BadAnswerError) Sent() bool { return true }
func (e *BadAnswerError) isFailure() {}

// CutOffError tells of an answer whose body ended too soon.
type CutOffError struct {
	To  netip.AddrPort
	Err error
}

func (e *CutOffError) Error() string { return fmt.Sprintf("answer of %v is cut off: %v", e.To, e.Err) }

// Unwrap returns the connection's own error.
func (e *CutOffError) Unwrap() error { return e.Err }

// Sent implements Failure.
func (e *CutOffError) Sent() bool { return true }
func (e *CutOffError) isFailure() {}

// BodyError tells of a request body that its own sender did not finish.
type BodyError struct {
	Err   error
	Begun bool
}

func (e *BodyError) Error() string { return fmt.Sprintf("request body: %v", e.Err) }

// Unwrap returns the reader's own error.
func (e *BodyError) Unwrap() error { return e.Err }

// Sent implements Failure.
func (e *BodyError) Sent() bool { return e.Begun }
func (e *BodyError) isFailure() {}

// TimeoutError tells of a call whose deadline passed.
type TimeoutError struct {
	To    netip.AddrPort
	Begun bool
}

func (e *TimeoutError) Error() string { return fmt.Sprintf("deadline passed at %v", e.To) }

// Sent implements Failure.
func (e *TimeoutError) Sent() bool { return e.Begun }
func (e *TimeoutError) isFailure() {}

// CancelledError tells of a call that was given up by its caller.
type CancelledError struct {
	Begun bool
	Err   error
}

func (e *CancelledError) Error() string { return fmt.Sprintf("cancelled: %v", e.Err) }

// Unwrap returns why the call was given up.
func (e *CancelledError) Unwrap() error { return e.Err }

// Sent implements Failure.
func (e *CancelledError) Sent() bool { return e.Begun }
func (e *CancelledError) isFailure() {}

// HeaderError tells of a header of this system that makes no sense.
type HeaderError struct{ Name, Value string }

func (e *HeaderError) Error() string { return fmt.Sprintf("header %s: %q", e.Name, e.Value) }

// SealError tells of a CallHeader that no node of this fleet made.
type SealError struct{}

func (e *SealError) Error() string { return CallHeader + " was not made by this fleet" }

// KindError tells of a body of a kind that this package does not know.
type KindError struct{ Body Body }

func (e *KindError) Error() string { return fmt.Sprintf("body of unknown kind %T", e.Body) }

// FailureKindError tells of a failure of a kind that this package does not
// know.
type FailureKindError struct{ Failure Failure }

func (e *FailureKindError) Error() string {
	return fmt.Sprintf("failure of unknown kind %T: %v", e.Failure, e.Failure)
}
