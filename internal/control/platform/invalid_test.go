package platform

import (
	"testing"

	"banyanlug.example/banyanlug/internal/standin/responder"
)

// Guards against a value or a revision that is taken from a response which isn't one of the protocol.
func TestInvalidResponsesOfTheStoreAreErrors(t *testing.T) {
	t.Parallel()
	c, err := Dial("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	responder.CheckRefused(t, c.http)
}
