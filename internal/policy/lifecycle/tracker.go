package lifecycle

// Phase is where the target is in its life, as its node believes.
type Phase uint8

// The phases.
const (
	// Unknown is a target that has not yet said anything to this process.
	Unknown Phase = iota
	// Serving is a target that takes calls.
	Serving
	// Leaving is a target that has said that it drains or has gone; only a
	// later start ends this phase.
	Leaving
	// Down is a target whose address refuses connections; its next heartbeat
	// ends this phase.
	Down
)

// String returns the phase as events show it.
func (p Phase) String() string {
	switch p {
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	case Down:
		return "down"
	default:
		return "unknown"
	}
}

// Heartbeat is what a target says of itself.
type Heartbeat struct {
	id       string
	born     uint64
	sequence uint64
	draining bool
	slots    int
	version  string
	warming  bool
}

// HeartbeatOption sets one property of a heartbeat.
type HeartbeatOption func(*Heartbeat)

// Born sets the time of the process's start in Unix milliseconds.
func Born(ms uint64) HeartbeatOption { return func(h *Heartbeat) { h.born = ms } }

// Sequence sets the number of the heartbeat since the start.
func Sequence(n uint64) HeartbeatOption { return func(h *Heartbeat) { h.sequence = n } }

// Draining tells that the target is about to leave.
func Draining() HeartbeatOption { return func(h *Heartbeat) { h.draining = true } }

// Slots sets how many calls the target runs at once.
func Slots(n int) HeartbeatOption { return func(h *Heartbeat) { h.slots = n } }

// Version sets the version of the target's software.
func Version(v string) HeartbeatOption { return func(h *Heartbeat) { h.version = v } }

// Warming tells that the target is still slow after its start.
func Warming() HeartbeatOption { return func(h *Heartbeat) { h.warming = true } }

// NewHeartbeat returns a heartbeat of the process with an id.
func NewHeartbeat(id string, opts ...HeartbeatOption) Heartbeat {
	h := Heartbeat{id: id, slots: 1}
	for _, opt := range opts {
		opt(&h)
	}
	return h
}

// ID returns the name of the process.
func (h Heartbeat) ID() string { return h.id }

// Target is what is believed of the target.
type Target struct {
	id    string
	born  uint64
	phase Phase
	slots int
	// version is that of its software, "" if it tells none.
	version string
}

// ID returns the name of the process, or "" before the first heartbeat.
func (t Target) ID() string { return t.id }

// Born returns the time of its start in Unix milliseconds, or 0.
func (t Target) Born() uint64 { return t.born }

// Phase returns where it is in its life.
func (t Target) Phase() Phase { return t.phase }

// Slots returns how many calls it runs at once.
func (t Target) Slots() int { return t.slots }

// Version returns the version of its software, or "".
func (t Target) Version() string { return t.version }

// Open reports whether the target takes calls.
func (t Target) Open() bool { return t.phase == Serving }

// Tracker follows the target beside one node. It is not safe for concurrent
// use.
type Tracker struct {
	now      Target
	sequence uint64
	warming  bool
	// left are the processes that have said goodbye, by their start; a delayed
	// heartbeat of one must not bring it back.
	left map[string]uint64
}

// maxLeft bounds what is remembered of processes that have left: one address
// sees a handful a day, and a delayed heartbeat is seconds late.
const maxLeft = 64

// NewTracker returns a tracker that has heard nothing.
func NewTracker() *Tracker { return &Tracker{left: map[string]uint64{}} }

// Target returns what is believed now.
func (t *Tracker) Target() Target { return t.now }

// Warming reports whether the target has said last that it is still slow after its
// start.
func (t *Tracker) Warming() bool { return t.warming }

// Hear takes in a heartbeat and reports whether it changes what is believed.
func (t *Tracker) Hear(h Heartbeat) bool {
	if !t.supersedes(h) {
		return false
	}
	before := t.now
	t.sequence, t.warming = h.sequence, h.warming
	t.now.id, t.now.born, t.now.slots, t.now.version = h.id, h.born, max(1, h.slots), h.version
	t.now.phase = Serving
	if h.draining {
		t.leave()
	}
	return t.now != before
}

// supersedes reports whether a heartbeat is later than all that was heard.
func (t *Tracker) supersedes(h Heartbeat) bool {
	if born, gone := t.left[h.id]; gone && h.born <= born {
		return false
	}
	switch {
	case t.now.phase == Unknown:
		return true
	case h.born != t.now.born:
		return h.born > t.now.born
	case h.id != t.now.id:
		// Two processes without, or with one, time of their start: the one
		// that speaks now is the one that lives, as the other is no longer
		// heard once it has ended.
		return true
	default:
		return h.sequence > t.sequence
	}
}

// Leave takes in a goodbye and reports whether it changes what is believed.
func (t *Tracker) Leave(id string) bool {
	if t.now.phase == Unknown {
		// What this process has not heard of may have been at work for the one
		// before; its later heartbeats, if they are late, must not count.
		t.remember(id, t.now.born)
		return false
	}
	if id != t.now.id || t.now.phase == Leaving {
		return false
	}
	t.leave()
	return true
}

func (t *Tracker) leave() {
	t.now.phase = Leaving
	t.remember(t.now.id, t.now.born)
}

func (t *Tracker) remember(id string, born uint64) {
	if len(t.left) >= maxLeft {
		clear(t.left)
	}
	t.left[id] = born
}

// Refused takes in that the address of a process refuses connections, and
// reports whether that changes what is believed.
func (t *Tracker) Refused(id string) bool {
	if id != t.now.id || t.now.phase != Serving {
		return false
	}
	t.now.phase = Down
	return true
}
