package http1

import (
	"math"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// minIdle is how long a connection has been idle that is closed for a new one.
	minIdle = time.Second
	// maxSampled bounds the connections among which the one is chosen that has been idle longest.
	maxSampled = 64
	// refusingShare is the part of the bound that connections may take in addition, of which the
	// first call is refused or the last response is on its way.
	refusingShare = 1.0 / 8
)

const (
	// reservedShare is the part of the file descriptors that clients leave to the rest of the
	// process, up to maxReserved.
	reservedShare = 1.0 / 4
	maxReserved   = 4096
)

// MaxClientConns returns how many connections clients may have, by the process's limit of file
// descriptors and by how many sockets it may open, 0 if unknown.
func MaxClientConns(sockets int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && (sockets <= 0 || limit.Cur < uint64(sockets)) {
		sockets = int(min(limit.Cur, math.MaxInt32))
	}
	return sockets - min(int(reservedShare*float64(sockets)), maxReserved)
}

// connStats counts connections.
type connStats struct{ open, closed, refused atomic.Int64 }

// ConnStats are the counts of a server's connections.
type ConnStats struct {
	Open, Max int   // Max is 0 for any number
	Closed    int64 // idle ones that were closed for new ones
	Refused   int64 // new ones that were refused
}

// ConnStats returns the counts of the server's connections.
func (s *Server) ConnStats() ConnStats {
	return ConnStats{Open: int(s.stats.open.Load()), Max: s.maxConns, Closed: s.stats.closed.Load(), Refused: s.stats.refused.Load()}
}

var tooManyConns = &Refusal{
	Status: http.StatusServiceUnavailable, Type: "too-many-connections",
	Message: "this node has as many connections as it can", Outcome: NotRun, RetryAfter: time.Second,
}

// admitConn counts a new connection. One too many takes the place of an idle one, or is marked as
// refused. It reports false for one that can't even be told so.
func (s *Server) admitConn(c *conn) bool {
	open := int(s.stats.open.Add(1))
	if s.maxConns <= 0 || open <= s.maxConns {
		return true
	}
	if open > s.maxConns+max(1, int(refusingShare*float64(s.maxConns))) {
		s.stats.open.Add(-1)
		s.stats.refused.Add(1)
		return false
	}
	if s.closeIdlest() {
		s.stats.closed.Add(1)
		return true
	}
	s.stats.refused.Add(1)
	c.refused = true
	return true
}

// closeIdlest closes the connection that has been idle longest among some, and reports whether
// there is one.
func (s *Server) closeIdlest() bool {
	latest, sampled := s.clk.Now().Add(-minIdle), 0
	var idlest *conn
	first := s.nextShard.Load()
	for i := uint32(0); i < shardCount && sampled < maxSampled; i++ {
		sh := &s.shards[(first+i)%shardCount]
		sh.mu.Lock()
		for c := range sh.conns {
			if from, idle := c.idleSince(); idle && from.Before(latest) {
				idlest, latest = c, from
			}
			if sampled++; sampled >= maxSampled {
				break
			}
		}
		sh.mu.Unlock()
	}
	return idlest != nil && idlest.endIdle()
}

// idleSince returns since when a connection is idle, and false if it isn't or is closing.
func (c *conn) idleSince() (from time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleFrom, c.idle && !c.ending
}

// endIdle ends an idle connection, and reports whether it still was idle.
func (c *conn) endIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.ending {
		return false
	}
	c.ending = true
	_ = c.rwc.SetReadDeadline(pastDeadline)
	return true
}
