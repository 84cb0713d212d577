package http1

import (
	"context"
	"time"
)

// watchClients cancels calls whose clients have disconnected, which would otherwise
// keep a target busy. Calls shorter than one interval are checked only when they begin.
func (s *Server) watchClients(ctx context.Context, done chan<- error) {
	tick := s.clk.Subscribe(clientCheckInterval)
	defer tick.Stop()
	var running []*conn
	for {
		select {
		case <-ctx.Done():
			done <- ctx.Err()
			return
		case now := <-tick.C():
			running = s.callsStartedBefore(running[:0], now.Add(-clientCheckInterval))
			for _, c := range running {
				c.checkClient()
			}
		}
	}
}

// callsStartedBefore appends to out the connections whose call started before t.
func (s *Server) callsStartedBefore(out []*conn, t time.Time) []*conn {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for c := range sh.busy {
			if c.callStart.Before(t) {
				out = append(out, c)
			}
		}
		sh.mu.Unlock()
	}
	return out
}
