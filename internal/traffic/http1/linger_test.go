package http1

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// refuseUnread answers a request without reading its body.
func refuseUnread(w http.ResponseWriter, _ *http.Request) {
	Refuse(w, &Refusal{Status: http.StatusServiceUnavailable, Type: KindDraining, Message: "not now", Outcome: NotRun})
}

// Guards against an early answer that a reset overtakes while the client still sends its body.
func TestAnEarlyAnswerReachesAClientThatSendsItsWholeBodyFirst(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		parts int
		part  string
		pause time.Duration
	}{
		{"at once", 1, strings.Repeat("x", 16<<20), 0},
		{"slowly", 8, strings.Repeat("x", 64<<10), 100 * time.Millisecond},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %v", tc.name, chunked), func(t *testing.T) {
				t.Parallel()
				p := startServer(t, refuseUnread, nil).dial()
				framing, part := fmt.Sprintf("Content-Length: %d", tc.parts*len(tc.part)), tc.part
				if chunked {
					framing, part = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", len(tc.part), tc.part)
				}
				p.send("POST / HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n")
				for range tc.parts {
					p.send(part)
					time.Sleep(tc.pause)
				}
				if status, _, outcome := p.readResponse(http.MethodPost); status != http.StatusServiceUnavailable || outcome != NotRun {
					t.Errorf("answered %d %s", status, outcome)
				}
				p.wantClosed()
			})
		}
	}
}

// Guards against a connection that stays open as long as its client goes on sending.
func TestAClientThatSendsWithoutEndIsClosed(t *testing.T) {
	t.Parallel()
	p := startServer(t, refuseUnread, nil).dial()
	p.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
	start := time.Now()
	for part := strings.Repeat("x", 4<<10); time.Since(start) < maxLinger+3*time.Second; time.Sleep(time.Millisecond) {
		if _, err := io.WriteString(p, part); err != nil {
			return
		}
	}
	t.Errorf("the connection is open after %v", time.Since(start))
}
