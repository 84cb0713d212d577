package store

import (
	"maps"
	"time"

	"banyanlug.example/banyanlug/internal/control/platform"
)

// Image is a copy of the store's keys and leases, as a backup holds them.
type Image struct {
	entries [shardCount]map[string]entry
	leases  map[platform.LeaseID]time.Duration
}

// Image returns a copy of the store as it is.
func (s *Store) Image() *Image {
	s.lockAll()
	defer s.unlockAll()
	img := &Image{leases: map[platform.LeaseID]time.Duration{}}
	for i := range s.shards {
		img.entries[i] = maps.Clone(s.shards[i].entries)
	}
	s.leases.mu.Lock()
	defer s.leases.mu.Unlock()
	for id, l := range s.leases.live {
		img.leases[id] = l.ttl
	}
	return img
}

// Rollback puts back an older state, as an operator does from a backup. The
// counter of revisions goes on, so that a revision names one write only; the
// leases of that time begin anew, and later ones are gone.
func (s *Store) Rollback(img *Image) {
	s.lockAll()
	defer s.unlockAll()
	s.leases.mu.Lock()
	defer s.leases.mu.Unlock()
	for _, l := range s.leases.live {
		l.end.Stop()
	}
	s.leases.live = map[platform.LeaseID]*lease{}
	for id, ttl := range img.leases {
		s.leases.live[id] = &lease{ttl: ttl, end: s.lapseAfter(id, ttl), keys: map[string]bool{}}
	}
	for i := range s.shards {
		sh := &s.shards[i]
		sh.entries = maps.Clone(img.entries[i])
		for key, e := range sh.entries {
			if l, ok := s.leases.live[e.lease]; ok {
				l.keys[key] = true
			}
		}
		sh.wakeAll()
	}
}

func (s *Store) wakeAll() {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		sh.wakeAll()
		sh.mu.Unlock()
	}
}

func (s *Store) lockAll() {
	for i := range s.shards {
		s.shards[i].mu.Lock()
	}
}

func (s *Store) unlockAll() {
	for i := range s.shards {
		s.shards[i].mu.Unlock()
	}
}
