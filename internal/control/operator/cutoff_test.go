package operator

import (
	"errors"
	"testing"

	"banyanlug.example/banyanlug/internal/standin/responder"
)

// Guards against a part of a response that counts as the whole, if that has no length and the node
// closes the connection early.
func TestResponsesWithoutALengthAreReadWholeOrNotAtAll(t *testing.T) {
	t.Parallel()
	const body = `{"version":7}`
	for cut := range len(body) + 1 {
		node := "http://" + responder.Serve(t, "HTTP/1.1 200 OK\r\n\r\n"+body[:cut], true)
		st, err := NewClient([]string{node}, "s3cret").Status(t.Context())
		var answer *AnswerError
		if whole := cut == len(body); whole && (err != nil || st.Version != 7) || !whole && !errors.As(err, &answer) {
			t.Errorf("cut off after %q: %+v, %v", body[:cut], st, err)
		}
	}
}
