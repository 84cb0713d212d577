package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/drain"
	"banyanlug.example/banyanlug/internal/traffic/caller"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// A call that can outlast a stopping node must be refused as not run, and one that ends
// in time, or that a call at the node's target has made, must be served.
func TestStoppingNodeRefusesCallsThatCanOutlastIt(t *testing.T) {
	t.Parallel()
	g := drain.NewGate()
	h := newHarness(t, harnessOptions{targets: 2, caller: []caller.Option{caller.WithDrain(g)}})
	now := h.clk.Now()
	g.Begin(now, now.Add(3*time.Second))
	parent := hop.NewParent(hop.NewMeta(hop.Depth(1), hop.ForOrganisation("harbour", snapshot.Paying)), now.Add(time.Minute))
	for _, tc := range []struct {
		name, path, parent string
		want               reply
		runs               int
	}{
		{"deadline after the end", "/bind?size=1", "", reply{503, hop.KindDraining, http1.NotRun}, 0},
		{"deadline before the end", "/short?size=1", "", reply{Status: 200}, 1},
		{"made by the target, deadline after the end", "/bind?size=1", hop.NewSealer(fleetKey).Seal(parent), reply{Status: 200}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			header := map[string]string{hop.KeyHeader: tc.name}
			if tc.parent != "" {
				header[hop.CallHeader] = tc.parent
			}
			got, _, _ := h.do(h.newHTTPClient(), h.newRequest("POST", tc.path, header))
			if got != tc.want || h.runs(tc.name) != tc.runs {
				t.Errorf("%+v, ran %d times; want %+v, %d", got, h.runs(tc.name), tc.want, tc.runs)
			}
		})
	}
}

// A call whose body arrives only once the node refuses further calls must not be passed on
// either: it begins then, whenever its head was read.
func TestStoppingNodeRefusesCallsWithLateBodies(t *testing.T) {
	t.Parallel()
	g := drain.NewGate()
	h := newHarness(t, harnessOptions{targets: 1, caller: []caller.Option{caller.WithDrain(g)}})
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	now := h.clk.Now()
	g.Begin(now.Add(200*time.Millisecond), now.Add(3*time.Second))
	fmt.Fprintf(conn, "POST /bind HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n%s: late\r\nContent-Length: 4\r\n\r\nab", payingKey, hop.KeyHeader)
	_ = h.clk.Sleep(h.ctx, 400*time.Millisecond)
	_, _ = io.WriteString(conn, "cd")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if outcome := resp.Header.Get(http1.OutcomeHeader); resp.StatusCode != http.StatusServiceUnavailable || outcome != string(http1.NotRun) || h.runs("late") != 0 {
		t.Errorf("%d %s, ran %d times", resp.StatusCode, outcome, h.runs("late"))
	}
}
