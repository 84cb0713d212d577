package hop

import "banyanlug.example/banyanlug/internal/traffic/http1"

// The kinds of refusal by which the nodes of a mesh tell each other why a call was
// not passed to its target, or what became of it there. Those of slots follow from
// the reasons of package admission.
const (
	// KindDraining is a target that is leaving.
	KindDraining = http1.KindDraining
	// KindWrongPool is a target of another pool.
	KindWrongPool = "wrong-pool"
	// KindWrongInstance is a process that is no longer the target's.
	KindWrongInstance = "wrong-instance"
	// KindSuperseded is a target whose version has been replaced or rolled back.
	KindSuperseded = "superseded"
	// KindDisplaced is a waiting call that made room for another organisation's.
	KindDisplaced = "displaced"
	// KindOutranked is a waiting call that made room for one of a higher rank.
	KindOutranked = "outranked"
	// KindQueueFull is a call for which there was no room to wait.
	KindQueueFull = "queue-full"
	// KindTooLate is a call that could not have ended in time.
	KindTooLate = "too-late"
	// KindNoTrialSlots is a trial call where all slots are promised.
	KindNoTrialSlots = "no-trial-slots"
	// KindTargetFull is a call that the target itself turned away, though its node
	// had a slot for it.
	KindTargetFull = "target-full"
	// KindConnectionClosed is a call on a connection that was being closed.
	KindConnectionClosed = http1.KindConnectionClosed
	// KindUnreachable is a target to which no connection could be made.
	KindUnreachable = "unreachable"
	// KindNotOfTheFleet is a call by who could not prove to be a node.
	KindNotOfTheFleet = "not-of-the-fleet"
)
