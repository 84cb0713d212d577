package resident

import (
	"context"
	"net/http"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// identityTimeout bounds the wait for the target's process to say who it is, for which it may
// need a free slot. The next report that is refused asks again.
const identityTimeout = time.Second

// signalQuestion wakes identifyTarget if the tracker has a question; the caller holds the lock.
func (n *Node) signalQuestion() {
	if !n.tracker.Questioned() {
		return
	}
	select {
	case n.questions <- struct{}{}:
	default:
	}
}

// identifyTarget asks the process at the target's address who it is when a report contradicts
// what the node knows of it, until ctx ends.
func (n *Node) identifyTarget(ctx context.Context, done chan<- error) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-n.questions:
			n.mu.Lock()
			id := n.tracker.Question()
			n.mu.Unlock()
			if id != "" {
				n.askIdentity(ctx, id)
			}
		}
	}
	done <- ctx.Err()
}

// askIdentity asks the process at the target's address whether it is the one with an id.
func (n *Node) askIdentity(ctx context.Context, id string) {
	pool, ok := n.fleet.Current().Pool(n.cfg.Pool)
	if !ok || pool.HealthPath() == "" {
		return
	}
	// The connection is not pooled: a process that answers twice does so to no call.
	opts := append(n.headerNames.ToProcess(id, identityTimeout), hop.WithHeader("Connection", "close"))
	r := hop.NewRequest(http.MethodGet, pool.HealthPath(), n.targetAddress.String(), nil, hop.None{}, opts...)
	resp, err := n.targetClient.Do(ctx, n.targetAddress, r, n.clk.Now().Add(identityTimeout))
	if err != nil {
		n.log.Emit(event.TargetIdentified, event.F("asked", id), event.F("error", err))
		return
	}
	defer resp.Close()
	process := n.headerNames.Process(resp)
	serving := resp.Status() == http.StatusOK
	leaving := resp.Status() == http.StatusServiceUnavailable && !n.headerNames.NotRun(resp)
	n.log.Emit(event.TargetIdentified, event.F("asked", id), event.F("process", process), event.F("status", resp.Status()))
	if process == "" {
		return
	}
	n.mu.Lock()
	known := n.tracker.Target().ID()
	n.mu.Unlock()
	if process != known {
		n.handleMisdirected(known)
	}
	n.updateTarget(func() bool { return n.tracker.HandleIdentity(process, serving, leaving) })
}
