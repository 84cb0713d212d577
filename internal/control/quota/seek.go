package quota

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/control/quotapb"
)

const (
	// seatKey names the seat in the platform's store.
	seatKey = "quota-seat"
	// seekEvery spaces the looks into the store while the seat is unknown: with
	// 22 domains these are 11 reads a second.
	seekEvery = 2 * time.Second
)

// seatAt is where the seat is, and its term: the revision of the write that took
// it, which grows with each.
type seatAt struct {
	place
	term uint64
}

// seek is what the node knows of where the seat is.
type seek struct {
	mu     sync.Mutex
	at     seatAt
	doubt  bool
	looked time.Time
}

func (s *seek) known() seatAt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at
}

// hear takes in where the seat is, unless something later is known.
func (s *seek) hear(at seatAt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.term > s.at.term {
		s.at, s.doubt = at, false
	}
}

// failed notes that a seat did not take a heartbeat in.
func (s *seek) failed(at seatAt, l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == at && (l.elsewhere || l.failures >= maxFailures) {
		s.doubt = true
	}
}

// answered notes that a seat took a heartbeat in.
func (s *seek) answered(at seatAt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == at {
		s.doubt = false
	}
}

// look reports whether it is time to look into the store.
func (s *seek) look(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at.term != 0 && !s.doubt || now.Sub(s.looked) < seekEvery {
		return false
	}
	s.looked = now
	return true
}

// Seated implements quotapb.Quota.
func (s server) Seated(_ context.Context, m *quotapb.Seat) (*quotapb.Ack, error) {
	if at, ok := fromSeat(m); ok {
		s.p.seek.hear(at)
	}
	return &quotapb.Ack{}, nil
}

// findSeat returns where the seat is as far as is known. If it is needed and in
// doubt, the store says where it is, or the node takes it.
func (p *Part) findSeat(ctx context.Context, needed bool) (seatAt, bool) {
	if needed && p.store != nil && p.seek.look(p.clock.Now()) {
		p.lookUp(ctx)
	}
	at := p.seek.known()
	return at, at.term != 0
}

func (p *Part) lookUp(ctx context.Context) {
	v, err := p.store.Get(ctx, seatKey)
	var missing *platform.NotFoundError
	switch {
	case err == nil:
		m := &quotapb.Seat{}
		if proto.Unmarshal(v.Data(), m) == nil {
			m.Term = v.Revision()
			if at, ok := fromSeat(m); ok {
				p.seek.hear(at)
			}
		}
	case errors.As(err, &missing):
		p.take(ctx)
	}
}

// take takes the empty seat. If another node is first, or the answer is lost,
// the next look finds who has it; a lease of which nothing came runs out.
func (p *Part) take(ctx context.Context) {
	asked := p.clock.Now()
	lease, err := p.store.Grant(ctx, seatLease)
	if err != nil {
		return
	}
	self := p.mesh.Self()
	at := seatAt{place: place{instance: self.Instance(), peer: self.Peer()}}
	b, err := proto.Marshal(toSeat(at))
	if err != nil {
		return
	}
	at.term, err = p.store.CompareAndSwap(ctx, seatKey, 0, b, platform.WithLease(lease))
	if err != nil {
		return
	}
	p.sit(p.clock.Now(), lease, asked, at.term)
	p.seek.hear(at)
}
