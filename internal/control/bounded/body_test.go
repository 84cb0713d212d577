package bounded

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
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
