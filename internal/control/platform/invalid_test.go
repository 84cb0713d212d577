package platform

import (
	"fmt"
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

// Guards against a part of a value that is read as the whole one.
func TestAValueWhoseEndIsNotKnownIsAnError(t *testing.T) {
	t.Parallel()
	for head, known := range map[string]bool{"": false, "Content-Length: 4\r\n": true} {
		c, err := Dial(responder.Serve(t, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: 7\r\n%s\r\npart", RevisionHeader, head), true))
		if err != nil {
			t.Fatal(err)
		}
		if v, err := c.Get(t.Context(), "config/head"); (err == nil) != known {
			t.Errorf("%q: %q, %v", head, v.Data(), err)
		}
		c.Close()
	}
}
