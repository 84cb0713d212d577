package balance

import (
	"sync"
	"time"
)

// statements holds what target processes have last stated of one kind, by the id of the
// process, for a limited time. A target's state in a pool does not outlast a restart of its
// node, statements do. It is safe for concurrent use.
type statements[T any] struct {
	maxAge time.Duration

	mu   sync.RWMutex
	byID map[string]statement[T]
}

type statement[T any] struct {
	what T
	at   int64
}

// put records a statement of a process; one without an id is ignored.
func (s *statements[T]) put(at int64, id string, what T) {
	if id == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = map[string]statement[T]{}
	}
	for other, st := range s.byID {
		if s.expired(at, st) {
			delete(s.byID, other)
		}
	}
	s.byID[id] = statement[T]{what, at}
}

// get returns the last statement of a process and when it was made, and false if there is
// none or it is too old.
func (s *statements[T]) get(at int64, id string) (what T, madeAt int64, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	st, ok := s.byID[id]
	if !ok || s.expired(at, st) {
		return what, 0, false
	}
	return st.what, st.at, true
}

// remove forgets the statement of a process, if there is one.
func (s *statements[T]) remove(id string) {
	s.mu.RLock()
	_, ok := s.byID[id]
	s.mu.RUnlock()
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}

func (s *statements[T]) expired(at int64, st statement[T]) bool { return at-st.at >= int64(s.maxAge) }
