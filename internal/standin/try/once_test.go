package try

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
)

// carried is a whole mesh that carries calls.
func carried(t *testing.T) *try {
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	ticked := make(chan error, 1)
	go clock.Run(ctx, ticked)
	tr := &try{o: Options{out: io.Discard, events: io.Discard}, clock: clock}
	running, stop := context.WithCancel(ctx)
	t.Cleanup(func() {
		stop()
		tr.fleet.wait()
		cancel()
		<-ticked
	})
	if _, err := tr.play(running); err != nil {
		t.Fatal(err)
	}
	return tr
}

// log sends a climber's ascent at a node; the target answers with the body.
func (t *try) log(node int, key, query, body string) (status int, got, outcome string) {
	url := "http://" + t.fleet.nodes[node%len(t.fleet.nodes)].Callers().String() + "/ascents" + query
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err.Error()
	}
	req.Header.Set("Authorization", "Bearer demo-big-wall-gyms")
	req.Header.Set("Idempotency-Key", key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err.Error()
	}
	return resp.StatusCode, string(b), resp.Header.Get("Banyanlug-Outcome")
}

func (t *try) runs(key string) int {
	n := 0
	for _, s := range t.fleet.targets {
		n += s.Runs()[key]
	}
	return n
}

// A climber's app logs an ascent and, seeing no answer yet, sends it again at
// other nodes at the same moment, and again afterwards. It runs once; who gets
// an answer gets the first one, and the others are told "unknown" until there
// is one. The mesh has just started, so its claims change hands meanwhile.
func TestAnAscentSentAgainElsewhereIsLoggedOnce(t *testing.T) {
	tr := carried(t)
	for i := range 20 {
		key := fmt.Sprint("ascent-", i)
		var sends sync.WaitGroup
		for n := range 3 {
			sends.Go(func() {
				status, body, outcome := tr.log(i+n, key, "?sleep=30ms", fmt.Sprint("by node ", n))
				if status != http.StatusOK && outcome != "unknown" {
					t.Errorf("%s: status %d, outcome %q: %s", key, status, outcome, body)
				}
			})
		}
		sends.Wait()
		if runs := tr.runs(key); runs > 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
		_, first, _ := tr.log(i, key, "", "again")
		for n := range tr.fleet.nodes {
			if status, body, _ := tr.log(n, key, "", "again"); status != http.StatusOK || body != first {
				t.Errorf("%s at node %d: status %d, %q, first %q", key, n, status, body, first)
			}
		}
		if runs := tr.runs(key); runs != 1 {
			t.Errorf("%s ran %d times after all", key, runs)
		}
	}
}

// The target runs the call and the connection breaks before it answers. Nobody
// knows what the target did, so neither the mesh nor a re-send at any node runs
// it again.
func TestAnAscentWhoseAnswerIsLostIsNotLoggedAgain(t *testing.T) {
	tr := carried(t)
	for n := range 4 {
		status, _, outcome := tr.log(n, "lost", "?fault=drop", "first")
		if status < http.StatusInternalServerError || outcome != "unknown" {
			t.Errorf("at node %d: status %d, outcome %q", n, status, outcome)
		}
	}
	if runs := tr.runs("lost"); runs != 1 {
		t.Errorf("ran %d times", runs)
	}
}
