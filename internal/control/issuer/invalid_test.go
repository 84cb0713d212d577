package issuer

import (
	"testing"

	"banyanlug.example/banyanlug/internal/standin/responder"
)

// Guards against tokens that are taken from a response which isn't one of the protocol.
func TestInvalidResponsesOfIssuersAreErrors(t *testing.T) {
	t.Parallel()
	a := New(newClock(), &mesh{}, &mesh{}, "n1", "a", []string{"a"})
	responder.CheckRefused(t, a.http)
}
