package hop

import "banyanlug.example/banyanlug/internal/traffic/http1"

// The types of refusals between nodes. Those of the target's admission gate are the
// reasons of package admission, with hyphens.
const (
	// KindDraining: the target is draining.
	KindDraining = http1.KindDraining
	// KindStarting: the node has not heard of its target yet.
	KindStarting = "starting"
	// KindWrongPool: the target belongs to another pool.
	KindWrongPool = "wrong-pool"
	// KindWrongInstance: the target process that the call is meant for was replaced.
	KindWrongInstance = "wrong-instance"
	// KindSuperseded: the target's version was replaced or rolled back.
	KindSuperseded = "superseded"
	// KindDisplaced: the waiting call was evicted in favour of another organisation's.
	KindDisplaced = "displaced"
	// KindOutranked: the waiting call was evicted in favour of one of higher priority,
	// or of an organisation that uses a smaller part of its limit.
	KindOutranked = "outranked"
	// KindQueueFull: the queue was full.
	KindQueueFull = "queue-full"
	// KindTooLate: the call was not expected to end by its deadline or soft deadline.
	KindTooLate = "too-late"
	// KindNoTrialSlots: all slots are reserved for paying organisations.
	KindNoTrialSlots = "no-trial-slots"
	// KindOverloaded: the node is short of processor time, and the call would have
	// taken too long because of it.
	KindOverloaded = "overloaded"
	// KindTargetFull: the target itself rejected the call, although its node had a free
	// slot.
	KindTargetFull = "target-full"
	// KindConnectionClosed: the call came on a connection that was being closed.
	KindConnectionClosed = http1.KindConnectionClosed
	// KindUnreachable: no connection to the target could be opened.
	KindUnreachable = "unreachable"
	// KindUnauthenticated: the peer could not prove that it is a node of the fleet.
	KindUnauthenticated = "not-of-the-fleet"
)
