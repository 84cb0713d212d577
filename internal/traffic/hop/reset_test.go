package hop

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// uploadBytes is above what the buffers of the kernel hold, readBytes what a target reads of it.
	uploadBytes, readBytes = 4 << 20, 20_000
	// repeats is how often a timing is played.
	repeats = 16
	// closeDelimitedResponse ends with its connection.
	closeDelimitedResponse = "HTTP/1.1 200 OK\r\nX-Sig: s\r\n\r\npart of the answer"
)

// uploadTo sends an upload to a peer that reads its begin and goes on as respond does, and returns
// the body of the response.
func uploadTo(t *testing.T, respond func(*net.TCPConn)) (body string, err error) {
	t.Helper()
	f := newFakePeer(t, func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err == nil {
			_, err = io.CopyN(io.Discard, r.Body, readBytes)
		}
		if err != nil {
			t.Errorf("the upload: %v", err)
		}
		respond(c.(*net.TCPConn))
	})
	f.client.closeDelimited = true
	upload := NewStream(bytes.NewReader(make([]byte, uploadBytes)), uploadBytes, func() {})
	return f.call(t.Context(), http.MethodPost, upload, longTimeout)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Guards against a response that the peer breaks off by a reset, while it is still sent an upload,
// and that is read as a whole one.
func TestAnEarlyResponseThatIsResetIsNeverWhole(t *testing.T) {
	t.Parallel()
	for framing, text := range map[string]string{
		"without a length": closeDelimitedResponse,
		"with a length":    "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\npart of the answer",
		"in chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n12\r\npart of the answer\r\n",
	} {
		for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(framing+" "+pause.String(), func(t *testing.T) {
				t.Parallel()
				for range repeats {
					body, err := uploadTo(t, func(c *net.TCPConn) {
						_, _ = io.WriteString(c, text)
						time.Sleep(pause)
						reset(c)
					})
					if err == nil {
						t.Errorf("%q is a whole response", body)
					}
					var failure Failure
					if err != nil && !errors.As(err, &failure) {
						t.Errorf("failed with %T %v", err, err)
					}
				}
			})
		}
	}
}

// Guards against a whole response that is taken for one that was reset, because the peer closes
// its side before it has read the upload and resets the connection later.
func TestAnEarlyResponseThatEndsBeforeTheResetIsWhole(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			for range repeats {
				body, err := uploadTo(t, func(c *net.TCPConn) {
					_, _ = io.WriteString(c, closeDelimitedResponse)
					_ = c.CloseWrite()
					time.Sleep(pause)
					reset(c)
				})
				if err != nil || body != "part of the answer" {
					t.Errorf("%q, %v", body, err)
				}
			}
		})
	}
}

// Guards against an upload whose write fails while a response is read: the early response has a
// length, so that it is whole whatever becomes of the connection.
func TestAnEarlyResponseWithALengthIsWholeWhateverFollows(t *testing.T) {
	t.Parallel()
	var calls sync.WaitGroup
	for range repeats {
		calls.Go(func() {
			body, err := uploadTo(t, func(c *net.TCPConn) {
				_, _ = io.WriteString(c, okResponse("early"))
				time.Sleep(20 * time.Millisecond)
				reset(c)
			})
			if err != nil || body != "early" {
				t.Errorf("%q, %v", body, err)
			}
		})
	}
	calls.Wait()
}
