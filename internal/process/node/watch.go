package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// targetEvery is how often the local target is looked at; a target that
	// leaves gets no new work within two seconds, and the tree needs a few
	// tenths of that to carry the news.
	targetEvery = 250 * time.Millisecond
	// targetTimeout bounds one look; a target that is busy answers late, which
	// says nothing about whether it lives.
	targetTimeout = 2 * time.Second
)

// watchTarget announces the node ready once it is in sync and its target takes
// connections, and takes that back while the target does not.
//
// A target's health endpoint lags or lies, so it is asked one question only:
// whether the target wants no new work. That it lives is seen from whether it
// takes connections.
func (n *Node) watchTarget(ctx context.Context, done chan<- error) {
	if err := n.peer.Sync(ctx); err != nil {
		done <- err
		return
	}
	n.gate.open.Store(true)
	n.life.synced()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	defer client.CloseIdleConnections()
	tick := n.clock.Subscribe(targetEvery)
	defer tick.Stop()
	last := membership.Starting
	for {
		if s := n.lookAtTarget(ctx, client); s != last && ctx.Err() == nil {
			last = s
			n.peer.Announce(s)
		}
		select {
		case <-ctx.Done():
			done <- ctx.Err()
			return
		case <-tick.C():
		}
	}
}

func (n *Node) lookAtTarget(ctx context.Context, client *http.Client) membership.State {
	if !n.local.IsValid() {
		return membership.Ready
	}
	ctx, cancel := n.clock.WithTimeout(ctx, targetTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", n.local.String())
	if err != nil {
		return membership.Starting
	}
	conn.Close()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.local.String()+"/readyz", nil)
	if err != nil {
		return membership.Ready
	}
	resp, err := client.Do(req)
	if err != nil {
		// It takes connections and is too busy to answer: calls decide.
		return membership.Ready
	}
	resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return membership.Draining
	}
	return membership.Ready
}
