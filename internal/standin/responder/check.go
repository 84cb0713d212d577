package responder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/wire/message"
)

// checkTimeout is how long a client may take for an error.
const checkTimeout = 5 * time.Second

// CheckRefused reports the invalid responses that a client takes for whole ones, or for which it has
// no error with the reason before a timeout.
func CheckRefused(t *testing.T, client *http.Client) {
	t.Helper()
	defer client.CloseIdleConnections()
	for _, r := range Invalid() {
		body, err := get(t, client, Serve(t, r.Text(), false))
		var reason *message.InvalidError
		switch {
		case err == nil:
			t.Errorf("%s: %q is a whole response", r.Part(), body)
		case !errors.As(err, &reason):
			t.Errorf("%s: %v", r.Part(), err)
		}
	}
	for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", chunkedHead + "2\r\nhi\r\n"} {
		if body, err := get(t, client, Serve(t, text, true)); err == nil {
			t.Errorf("cut off after %q: %q is a whole response", text, body)
		}
	}
	for _, r := range Sound() {
		if r.Closes() {
			continue // only some clients accept these
		}
		if body, err := get(t, client, Serve(t, r.Text(), false)); err != nil || body != r.Body() {
			t.Errorf("a sound response, %s: %q, %v", r.Part(), body, err)
		}
	}
}

func get(t *testing.T, client *http.Client, address string) (body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), checkTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}
