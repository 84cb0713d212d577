/*
 * Members: three nodes of a failure domain track a member, X, that joins, drains and
 * leaves, or crashes, or whose entry the store loses while X is up. Node 0 reads the
 * store, node 1 reads it while node 0 is unresponsive or cut off from it, and node 2
 * pulls from either. Entries have no lease: the node that reads the store removes that of
 * a member that has crashed. Responses to a pull may be delayed.
 *
 * In every reachable state: a node whose view has X as draining never has it as ready
 * again without removing it first; and no node removes X while X is up and responds.
 * In every terminal state, with all faults healed or permanent: the view of every node
 * that is not cut off has the current state of X, or lacks X once it has left.
 *
 * Admission is not modelled: only the node beside X decides it, and it refuses calls
 * from nodes with an outdated view.
 */

// seeded: TAKE_OLDER accepts an entry that is older than the one in the view
// seeded: DROP_UNASKED removes a member that is absent from the store without querying it
// seeded: ABSENT_IS_GONE removes a member that is absent from a relay's view without querying it
// seeded: NO_RESERVE only node 0 reads the store, also when it is cut off permanently
// seeded: WRITE_ONCE a member does not rewrite its entry after the store has lost it
// seeded: NO_AUDIT nobody removes the entry of a member that has crashed
// seeded: AUDIT_UNASKED the reader removes the entry of a member without querying it

#define NODES 3
#define NONE 0
#define READY 1
#define DRAINING 2
#define GONE 3

byte x = NONE;             /* the state of X */
bool stays_up;             /* X drains or crashes no more */
byte stored = NONE;        /* the entry of X in the store */
bool removed;              /* the entry was removed, not lost: readers see the event */
byte view[NODES] = NONE;   /* the state of X in each node's view */
bool missing[NODES];       /* the source no longer lists X: query X before removing it */
bool seen_draining[NODES]; /* the view has had X as draining */
byte response = NONE;      /* the response in flight to node 2 */
bool in_flight;

bool cut; /* node 0 can reach neither the store nor the other nodes */
bool cut_permanent;
byte cuts, drops;

#ifdef NO_RESERVE
#define READS(n) ((n) == 0 && !cut)
#else
#define READS(n) ((n) == 0 && !cut || (n) == 1 && cut)
#endif

/* control/fleet: view.put. */
inline put(n, state)
{
	if
#ifdef TAKE_OLDER
	:: state != NONE -> view[n] = state; missing[n] = false
#else
	:: state > view[n] -> view[n] = state; missing[n] = false
	:: state == view[n] -> missing[n] = false
#endif
	:: else
	fi;
	assert(!(seen_draining[n] && view[n] == READY));
	if
	:: view[n] == DRAINING -> seen_draining[n] = true
	:: else
	fi
}

/* control/fleet: view.remove and removeMissing. */
inline remove(n)
{
	view[n] = NONE;
	missing[n] = false;
	seen_draining[n] = false
}

/* control/fleet: view.entryDropped and dropAbsent. */
inline drop_absent(n, unverified)
{
	if
	:: view[n] == DRAINING -> remove(n)
	:: view[n] == READY && unverified -> assert(x != READY); remove(n)
	:: view[n] == READY && !unverified -> missing[n] = true
	:: else
	fi
}

/* The lifecycle of X. */
proctype member()
{
	x = READY;
	stored = READY;
end:	do
	:: d_step { x == READY && !stays_up -> stays_up = true }
	:: d_step { x == READY && !stays_up -> x = DRAINING; stored = DRAINING; removed = false }
	:: d_step { x == DRAINING -> x = GONE } /* the reader removes the entry */
	:: d_step { x == READY && !stays_up -> x = GONE } /* a crash */
#ifndef WRITE_ONCE
	:: d_step { x < GONE && stored != x -> stored = x; removed = false }
#endif
	od
}

/* control/fleet: auditor.check and remove. */
proctype audit(byte n)
{
end:	do
#ifdef AUDIT_UNASKED
	:: d_step { READS(n) && stored != NONE -> stored = NONE; removed = true }
#endif
#ifdef NO_AUDIT
	:: false -> skip
#else
	:: d_step { READS(n) && stored != NONE && x == GONE -> stored = NONE; removed = true }
#endif
	od
}

#define STORE_DIFFERS(n) (stored != NONE && (stored > view[n] || missing[n]) || stored == NONE && view[n] != NONE && !missing[n])

/* control/fleet: Fleet.syncStore. */
proctype reader(byte n)
{
end:	do
	:: d_step { READS(n) && STORE_DIFFERS(n) ->
			if
			:: stored != NONE -> put(n, stored)
			:: stored == NONE && removed -> assert(x != READY); remove(n)
#ifdef DROP_UNASKED
			:: stored == NONE && !removed -> drop_absent(n, true)
#else
			:: stored == NONE && !removed -> drop_absent(n, false)
#endif
			fi
		}
	od
}

/* control/fleet: Fleet.probeMissing. */
proctype prober(byte n)
{
end:	do
	:: d_step { missing[n] && !(n == 0 && cut) ->
			if
			:: x == GONE || x == NONE -> remove(n)
			:: x == READY && stored != READY -> skip /* kept, and queried again */
			:: else -> put(n, x)
			fi
		}
	od
}

#define PULL_DIFFERS(n, from) (view[from] > view[n] || missing[n] && view[from] != NONE && !missing[from] || view[from] == NONE && view[n] != NONE && !missing[n])

/* control/fleet: Fleet.pull at node 1, from node 0. */
proctype second_reader()
{
end:	do
	:: d_step { !cut && PULL_DIFFERS(1, 0) ->
			if
			:: view[0] != NONE -> put(1, view[0])
#ifdef ABSENT_IS_GONE
			:: else -> drop_absent(1, true)
#else
			:: else -> drop_absent(1, false)
#endif
			fi
		}
	od
}

/* The same at node 2, from either node, with delayed responses. */
proctype follower()
{
	byte from;
end:	do
	:: d_step { !in_flight && !cut && PULL_DIFFERS(2, 0) -> response = view[0]; in_flight = true }
	:: d_step { !in_flight && PULL_DIFFERS(2, 1) && (cut || view[1] == view[0]) -> response = view[1]; in_flight = true }
	:: d_step { in_flight ->
			in_flight = false;
			if
			:: response != NONE -> put(2, response)
#ifdef ABSENT_IS_GONE
			:: else -> drop_absent(2, true)
#else
			:: else -> drop_absent(2, false)
#endif
			fi;
			response = NONE
		}
	od
}

/* The store loses the entry; node 0 is cut off, for a time or permanently. */
proctype faults()
{
end:	do
	:: d_step { drops < 1 && stored == READY -> drops++; stored = NONE; removed = false }
	:: d_step { cuts < 2 && !cut -> cuts++; cut = true }
	:: d_step { cut && !cut_permanent -> cut = false }
	:: d_step { cut && !cut_permanent && cuts == 2 -> cut_permanent = true }
	od
}

#define VIEW_CORRECT(n) (view[n] == (x == READY -> READY : NONE) && !missing[n])

/* Checks the terminal states, in which no other process can move. */
proctype terminal_check()
{
end:	do
	:: timeout ->
		assert(x == GONE && stored == NONE || x == READY && stored == READY);
		assert(cut || VIEW_CORRECT(0));
		assert(VIEW_CORRECT(1));
		assert(VIEW_CORRECT(2));
		break
	od
}

init {
	atomic {
		run member();
		run reader(0);
		run reader(1);
		run audit(0);
		run audit(1);
		run prober(0);
		run prober(1);
		run prober(2);
		run second_reader();
		run follower();
		run faults();
		run terminal_check()
	}
}
