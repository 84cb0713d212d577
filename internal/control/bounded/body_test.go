package bounded

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"banyanlug.example/banyanlug/internal/standin/responder"
	"banyanlug.example/banyanlug/internal/wire/message"
)

// zeros is a body of n bytes that counts those read.
type zeros struct{ n, read int64 }

func (z *zeros) Read(p []byte) (int, error) {
	n := min(int64(len(p)), z.n-z.read)
	z.read += n
	if n == 0 {
		return 0, io.EOF
	}
	return int(n), nil
}

// Guards against a process at a node's address that uses up the memory of those who call it.
func TestAResponseWithoutEndIsCutOff(t *testing.T) {
	t.Parallel()
	for _, n := range []int64{0, 1 << 10, maxResponseBytes, maxResponseBytes + 1, 8 * maxResponseBytes} {
		sent := &zeros{n: n}
		client := http.Client{Transport: Transport(roundTrip(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(sent)}, nil
		}))}
		resp, err := client.Get("http://node/")
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		var tooLong *TooLongError
		if cut := errors.As(err, &tooLong); cut != (n > maxResponseBytes) || got != min(n, maxResponseBytes+1) {
			t.Errorf("%d bytes: %d read, error %v", n, got, err)
		}
	}
}

// Guards against a message of another node that was cut off between two of its fields, so that the
// rest can be decoded.
func TestAResponseWhoseEndIsNotKnownIsAnError(t *testing.T) {
	t.Parallel()
	client := http.Client{Transport: Transport(&http.Transport{DisableKeepAlives: true})}
	for head, known := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\npart":                                                      false,
		"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\npart":                                 false,
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart":                                 true,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                                     true,
		"HTTP/1.1 204 No Content\r\n\r\n":                                                  true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + "\r\n4\r\npart\r\n0\r\n\r\n": true,
	} {
		resp, err := client.Get("http://" + responder.Serve(t, head, true))
		if err == nil {
			resp.Body.Close()
		}
		var noEnd *message.NoEndError
		if known && err != nil || !known && !errors.As(err, &noEnd) {
			t.Errorf("%q: %v", head, err)
		}
	}
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a client at a node's control address that uses up the node's memory.
func TestARequestWithoutEndIsCutOff(t *testing.T) {
	t.Parallel()
	var failed error
	srv := httptest.NewServer(Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, failed = io.ReadAll(r.Body) })))
	defer srv.Close()
	sent := &zeros{n: 64 << 20}
	resp, err := http.Post(srv.URL, "application/protobuf", struct{ io.Reader }{sent})
	if err == nil {
		resp.Body.Close()
	}
	if failed == nil || !strings.Contains(failed.Error(), "too large") || sent.read == sent.n {
		t.Errorf("%d bytes were sent, the handler's error is %v", sent.read, failed)
	}
}
