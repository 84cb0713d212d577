package lifecycle

// Phase is a phase of the target's lifecycle, as last reported to its node.
type Phase uint8

// The phases of a target.
const (
	// Unknown is a target of which the node has accepted no heartbeat since its start.
	Unknown Phase = iota
	// Serving is a target that accepts calls.
	Serving
	// Leaving is a target that has reported that it is draining or gone. A heartbeat of
	// another process that started no earlier ends this phase, or the process's own answer
	// if it goes on reporting that it serves.
	Leaving
	// Down is a target whose address refuses connections; its next heartbeat
	// ends this phase.
	Down
)

// String returns the phase's name in log events.
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

// Heartbeat is the state that a target's process reports of itself.
type Heartbeat struct {
	id       string
	startMs  uint64
	sequence uint64
	draining bool
	slots    int
	version  string
	warming  bool
	// orderMs is startMs, or the time of arrival if that is earlier: a start in the future
	// would make all later processes stale.
	orderMs    uint64
	receivedMs uint64
}

// HeartbeatOption sets one property of a heartbeat.
type HeartbeatOption func(*Heartbeat)

// StartMs sets the start time of the process in Unix milliseconds.
func StartMs(ms uint64) HeartbeatOption { return func(h *Heartbeat) { h.startMs = ms } }

// Sequence sets the heartbeat's number, which counts up from the process start.
func Sequence(n uint64) HeartbeatOption { return func(h *Heartbeat) { h.sequence = n } }

// Draining marks the target as about to leave.
func Draining() HeartbeatOption { return func(h *Heartbeat) { h.draining = true } }

// Slots sets how many calls the target runs concurrently; the default is 1.
func Slots(n int) HeartbeatOption { return func(h *Heartbeat) { h.slots = n } }

// Version sets the version of the target's software.
func Version(v string) HeartbeatOption { return func(h *Heartbeat) { h.version = v } }

// Warming marks the target as still slow after its start.
func Warming() HeartbeatOption { return func(h *Heartbeat) { h.warming = true } }

// NewHeartbeat returns a heartbeat of the process with the given id.
func NewHeartbeat(id string, opts ...HeartbeatOption) Heartbeat {
	h := Heartbeat{id: id, slots: 1}
	for _, opt := range opts {
		opt(&h)
	}
	return h
}

// ID returns the id of the process.
func (h Heartbeat) ID() string { return h.id }

// Draining reports whether the process has reported that it is about to leave.
func (h Heartbeat) Draining() bool { return h.draining }

// Target is the last known state of a node's target.
type Target struct {
	id      string
	startMs uint64
	phase   Phase
	slots   int
	version string
}

// ID returns the id of the process, or "" before the first heartbeat.
func (t Target) ID() string { return t.id }

// StartMs returns the start time of the process in Unix milliseconds, or 0 if
// unknown.
func (t Target) StartMs() uint64 { return t.startMs }

// Phase returns the target's phase.
func (t Target) Phase() Phase { return t.phase }

// Slots returns how many calls the target runs concurrently.
func (t Target) Slots() int { return t.slots }

// Version returns the version of the target's software, or "" if unknown.
func (t Target) Version() string { return t.version }

// AcceptsCalls reports whether the target accepts calls.
func (t Target) AcceptsCalls() bool { return t.phase == Serving }

// Tracker tracks the target of one node. It is not safe for concurrent use.
//
// A new tracker accepts no process before Open: it can't tell a delayed heartbeat of one that
// has left from that of a live one before it knows what the node's earlier process knew.
type Tracker struct {
	target   Target
	orderMs  uint64 // of the target's last heartbeat
	sequence uint64
	heardMs  uint64 // when the target's process was last heard of
	warming  bool
	departed departures
	doubted  bool // see HandleMisdirected
	renewed  bool // the target's process has sent more than one heartbeat
	// startDoubted is set if the target has left by a report that names an earlier start.
	startDoubted bool
	disputes     disputes
	question     string    // see Question
	vouched      departure // the latest departure that the process itself has refuted
	open         bool
	held         []Heartbeat // that came before Open
}

// maxHeld bounds the heartbeats that are held until Open; further ones are dropped. Live
// processes send another one soon.
const maxHeld = 8

// NewTracker returns a tracker of a target that is still unknown.
func NewTracker() *Tracker { return &Tracker{} }

// Target returns the last known state of the target.
func (t *Tracker) Target() Target { return t.target }

// Warming reports whether the latest heartbeat marked the target as still slow
// after its start.
func (t *Tracker) Warming() bool { return t.warming }

// Departures returns the text form of the latest processes that have reported that they
// leave, for Remember in the node's next process.
func (t *Tracker) Departures() string { return t.departed.String() }

// Remember adds the departures that an earlier process of the node knew, in their text form,
// and reports whether the target or the departures changed.
func (t *Tracker) Remember(text string) (changed bool) {
	for _, p := range parseDepartures(text) {
		if p.id != t.vouched.id || p.startMs > t.vouched.startMs {
			changed = t.leave(p) || changed
		}
	}
	return changed
}

// Open makes the tracker accept processes, as all departures are known, and reports whether
// the target changed.
func (t *Tracker) Open() (changed bool) {
	t.open = true
	held := t.held
	t.held = nil
	for _, h := range held {
		changed = t.handle(h) || changed
	}
	return changed
}

// HandleHeartbeat processes a heartbeat, received at nowMs in Unix milliseconds, and reports
// whether the target or the departures changed.
func (t *Tracker) HandleHeartbeat(h Heartbeat, nowMs uint64) (changed bool) {
	h.orderMs, h.receivedMs = min(h.startMs, nowMs), nowMs
	return t.handle(h)
}

func (t *Tracker) handle(h Heartbeat) (changed bool) {
	if h.id == t.target.id && h.startMs == t.target.startMs {
		t.heardMs = h.receivedMs
	}
	switch {
	case h.draining && !t.supersedes(h):
		// Draining is final for a process, so the report counts whenever it arrives.
		return t.leave(departure{h.id, h.startMs, true})
	case !t.supersedes(h):
		return t.dispute(h)
	case !t.open && !h.draining:
		if len(t.held) < maxHeld {
			t.held = append(t.held, h)
		}
		return false
	}
	return t.accept(h)
}

// accept makes the sender of a heartbeat the target and reports whether anything changed.
func (t *Tracker) accept(h Heartbeat) (changed bool) {
	before := t.target
	if before.id != "" && before.id != h.id {
		t.departed.add(departure{id: before.id, startMs: before.startMs})
		t.departed.restore(h.id)
	}
	t.renewed, t.startDoubted = before.id == h.id && before.startMs == h.startMs, false
	t.disputes.remove(h.id)
	t.orderMs, t.sequence, t.heardMs, t.warming, t.doubted = h.orderMs, h.sequence, h.receivedMs, h.warming, false
	t.target.id, t.target.startMs, t.target.slots, t.target.version = h.id, h.startMs, max(1, h.slots), h.version
	t.target.phase = Serving
	if h.draining {
		changed = t.leave(departure{h.id, h.startMs, true})
	}
	return changed || t.target != before
}

// supersedes reports whether a heartbeat is newer than all accepted ones.
func (t *Tracker) supersedes(h Heartbeat) bool {
	switch {
	case t.departed.contains(h.id, h.startMs, t.doubted):
		return false
	case t.target.phase == Unknown:
		return true
	case h.id == t.target.id && h.startMs == t.target.startMs:
		return h.sequence > t.sequence
	case t.doubted:
		return true
	case h.orderMs != t.orderMs:
		return h.orderMs > t.orderMs
	default:
		// The start times are equal or not reported. Delayed heartbeats of predecessors
		// are excluded above, so the sender is a later process.
		return true
	}
}

// startSkewMs is by how much the start of a process may seem earlier than it was, as its clock
// differs from that of the node. No process leaves as soon after its start.
const startSkewMs = 1_000

// HandleGoodbye processes the goodbye of a process, received at nowMs in Unix milliseconds,
// and reports whether the target or the departures changed.
func (t *Tracker) HandleGoodbye(id string, nowMs uint64) (changed bool) {
	var startMs uint64
	switch {
	case id != t.target.id:
		// The tracker does not know when the process started. Its delayed heartbeats must not
		// be accepted; only a process that has started since, on the same machine, may use its
		// id again.
		startMs = nowMs
	case nowMs <= t.heardMs+heartbeatGapMs:
		startMs = t.target.startMs
	default:
		// It may be of a later start, of which no heartbeat has arrived yet.
		startMs = max(t.target.startMs, nowMs-min(nowMs, startSkewMs))
	}
	return t.leave(departure{id, startMs, true})
}

// leave records a departure, which ends the phase of the target if that has left, and
// reports whether anything changed.
func (t *Tracker) leave(p departure) (changed bool) {
	changed = t.departed.add(p)
	t.disputes.remove(p.id)
	switch {
	case t.target.id != p.id || t.target.phase == Leaving:
	case t.target.startMs <= p.startMs:
		t.target.phase, changed = Leaving, true
	case !t.renewed:
		// Either the departure was delayed, or the later start was never made.
		t.startDoubted, t.question = true, p.id
	}
	return changed
}

// HandleMisdirected processes the answer of the process at the target's address that it is not
// the one with the given id, and reports whether the target is doubted from now on. Its heartbeat
// may have been of another writer then: those that it has replaced may be running still, and the
// next heartbeat of any process that has not left counts, whenever that has started.
func (t *Tracker) HandleMisdirected(id string) (changed bool) {
	changed = !t.doubted && id == t.target.id && t.target.phase == Serving
	t.doubted = t.doubted || changed
	return changed
}

// Doubted reports whether another process has answered at the target's address since the last
// heartbeat that counted.
func (t *Tracker) Doubted() bool { return t.doubted }

// HandleConnectionRefused processes a refused connection to the address of a
// process and reports whether the target changed.
func (t *Tracker) HandleConnectionRefused(id string) bool {
	if id != t.target.id || t.target.phase != Serving {
		return false
	}
	t.target.phase = Down
	return true
}
