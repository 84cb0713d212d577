package lifecycle

import "slices"

const (
	// maxDisputes bounds the processes whose refused heartbeats are remembered.
	maxDisputes = 4
	// heartbeatGapMs is the longest pause between two heartbeats of a process that runs.
	heartbeatGapMs = 5_000
	// unrenewedMs is how long a process must go on reporting, without a heartbeat of the
	// state that it contradicts, until its own heartbeats count again.
	unrenewedMs = 3_000
	// departureDoubtMs is how long a process must go on reporting after it was reported as
	// leaving until its own answer can refute that. Heartbeats are delayed by less.
	departureDoubtMs = 10_000
)

// dispute is a process that goes on reporting although its heartbeats are stale by what the
// tracker has accepted. One accepted report may have been of another writer; delayed heartbeats
// end soon.
type dispute struct {
	last    Heartbeat
	firstMs uint64 // when the first heartbeat was received
}

// lastsMs returns for how long the process has gone on reporting.
func (d dispute) lastsMs() uint64 { return d.last.receivedMs - min(d.firstMs, d.last.receivedMs) }

// disputes are the latest ones, in the order in which they began.
type disputes []dispute

// add records a refused heartbeat and returns its dispute. One that is no newer than those
// before has no effect.
func (d *disputes) add(h Heartbeat) dispute {
	for i := range *d {
		known := &(*d)[i]
		if known.last.id != h.id || known.last.startMs != h.startMs {
			continue
		}
		if h.receivedMs > known.last.receivedMs+heartbeatGapMs {
			*known = dispute{last: h, firstMs: h.receivedMs}
		} else if h.sequence > known.last.sequence {
			known.last = h
		}
		return *known
	}
	if len(*d) == maxDisputes {
		*d = slices.Delete(*d, 0, 1)
	}
	*d = append(*d, dispute{last: h, firstMs: h.receivedMs})
	return (*d)[len(*d)-1]
}

// remove ends the disputes of a process.
func (d *disputes) remove(id string) {
	*d = slices.DeleteFunc(*d, func(known dispute) bool { return known.last.id == id })
}

// latest returns the dispute of the process with an id that has reported last.
func (d disputes) latest(id string) (out dispute, ok bool) {
	for _, known := range d {
		if known.last.id == id && (!ok || known.last.receivedMs >= out.last.receivedMs) {
			out, ok = known, true
		}
	}
	return out, ok
}

// dispute handles a heartbeat that is stale by what the tracker has accepted, and reports
// whether the target changed. A heartbeat under the target's id counts if the accepted state is
// not renewed: that state was not of the process that goes on reporting.
func (t *Tracker) dispute(h Heartbeat) (changed bool) {
	d := t.disputes.add(h)
	if !t.open {
		return false
	}
	switch departed := t.departed.contains(h.id, h.startMs, true); {
	case departed && d.lastsMs() < departureDoubtMs:
	case departed || h.id != t.target.id:
		t.question = h.id
	case t.target.phase != Leaving && d.lastsMs() >= unrenewedMs:
		return t.accept(d.last)
	}
	return false
}

// Questioned reports whether Question has an id to return.
func (t *Tracker) Questioned() bool { return t.question != "" }

// Question returns, once after each report that can't be right together with what the tracker
// has accepted, the id under which the process at the target's address has to be asked who it
// is, or "". HandleIdentity takes the answer.
func (t *Tracker) Question() (id string) {
	id, t.question = t.question, ""
	return id
}

// HandleIdentity processes the answer of the process at the target's address with its own id,
// and reports whether the target or the departures changed. serving and leaving are set if the
// process also says that it accepts calls, or that it doesn't. Its heartbeats count again if they
// were refused; those of a process that was reported as leaving only if it is serving.
func (t *Tracker) HandleIdentity(id string, serving, leaving bool) (changed bool) {
	d, disputed := t.disputes.latest(id)
	if !disputed || !t.open {
		if id == t.target.id && leaving && t.startDoubted && t.target.phase == Serving {
			t.target.phase, changed = Leaving, true
		}
		return changed
	}
	switch departed := t.departed.contains(id, d.last.startMs, true); {
	case departed && (!serving || d.lastsMs() < departureDoubtMs):
		return false
	case departed:
		t.vouched = t.departed.forget(id)
	case id == t.target.id:
		return false // all processes under the target's id answer alike
	}
	t.disputes = nil
	return t.accept(d.last)
}
