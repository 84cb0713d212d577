/*
 * Members: three nodes of a failure domain learn of a member, X, that comes, drains
 * and leaves, or dies, or that the store drops although it lives. Node 0 reads the
 * store, node 1 reads it while node 0 does not answer or is cut off from it, and
 * node 2 pulls from either. Answers of a pull come late.
 *
 * In every reachable state: a node that has heard that X drains never takes the
 * same X for ready again while it remembers it; and X, which is alive and answers,
 * is forgotten by no node. Where nothing can move any more, with the faults spent
 * and healed: every node knows X as it is, or not at all once it has gone.
 *
 * That the node beside X alone decides what X gets is not modelled here: whoever
 * lags is refused there.
 */

// seeded: TAKE_OLDER takes an entry over though it is older than the one known
// seeded: DROP_UNASKED forgets a member that the store lacks without asking it
// seeded: ABSENT_IS_GONE forgets a member that a relay does not know without asking it
// seeded: NO_RESERVE leaves the store to node 0 alone, also when it is cut off for good
// seeded: WRITE_ONCE a member does not write its entry again when the store has dropped it

#define NODES 3
#define NONE 0
#define READY 1
#define DRAINING 2
#define GONE 3

byte x = NONE;            /* what X is */
bool stays;               /* it lives on */
byte entry = NONE;        /* what the store holds of it */
byte view[NODES] = NONE;  /* what each node knows of it */
bool missing[NODES];      /* a node that it knows is listed nowhere: it is to be asked */
bool drained[NODES];      /* a node knows that it drains */
byte answer = NONE;       /* an answer on its way to node 2 */
bool held;                /* there is one */

bool cut;                 /* node 0 is out of reach of the store and of the others */
bool forever;             /* it stays so */
byte cuts, drops;

#ifdef NO_RESERVE
#define READS(n) ((n) == 0 && !cut)
#else
#define READS(n) ((n) == 0 && !cut || (n) == 1 && cut)
#endif

/* control/fleet: view.put. */
inline hear(n, what)
{
	if
#ifdef TAKE_OLDER
	:: what != NONE -> view[n] = what; missing[n] = false
#else
	:: what > view[n] -> view[n] = what; missing[n] = false
	:: what == view[n] -> missing[n] = false
#endif
	:: else
	fi;
	assert(!(drained[n] && view[n] == READY));
	if
	:: view[n] == DRAINING -> drained[n] = true
	:: else
	fi
}

/* control/fleet: view.forget and what follows a draining member's entry. */
inline forget(n)
{
	view[n] = NONE;
	missing[n] = false;
	drained[n] = false
}

/* control/fleet: view.drop and view.keepOnly. */
inline lack(n, unasked)
{
	if
	:: view[n] == DRAINING -> forget(n)
	:: view[n] == READY && unasked -> assert(x != READY); forget(n)
	:: view[n] == READY && !unasked -> missing[n] = true
	:: else
	fi
}

/* A member's own life. */
proctype member()
{
	x = READY;
	entry = READY;
end:	do
	:: d_step { x == READY && !stays -> stays = true }
	:: d_step { x == READY && !stays -> x = DRAINING; entry = DRAINING }
	:: d_step { x == DRAINING -> x = GONE; entry = NONE }
	:: d_step { x == READY && !stays -> x = GONE; entry = NONE } /* it dies, and its lease ends */
#ifndef WRITE_ONCE
	:: d_step { x < GONE && entry != x -> entry = x }
#endif
	od
}

#define STORE_NEWS(n) (entry != NONE && (entry > view[n] || missing[n]) || entry == NONE && view[n] != NONE && !missing[n])

/* control/fleet: follow. */
proctype reader(byte n)
{
end:	do
	:: d_step { READS(n) && STORE_NEWS(n) ->
			if
			:: entry != NONE -> hear(n, entry)
#ifdef DROP_UNASKED
			:: else -> lack(n, true)
#else
			:: else -> lack(n, false)
#endif
			fi
		}
	od
}

/* control/fleet: vouchAll. */
proctype vouching(byte n)
{
end:	do
	:: d_step { missing[n] && !(n == 0 && cut) ->
			if
			:: x == GONE || x == NONE -> forget(n)
			:: x == READY && entry != READY -> skip /* kept, and asked again */
			:: else -> hear(n, x)
			fi
		}
	od
}

#define PULL_NEWS(n, from) (view[from] > view[n] || missing[n] && view[from] != NONE && !missing[from] || view[from] == NONE && view[n] != NONE && !missing[n])

/* control/fleet: pull, at node 1 from node 0. */
proctype reserve()
{
end:	do
	:: d_step { !cut && PULL_NEWS(1, 0) ->
			if
			:: view[0] != NONE -> hear(1, view[0])
#ifdef ABSENT_IS_GONE
			:: else -> lack(1, true)
#else
			:: else -> lack(1, false)
#endif
			fi
		}
	od
}

/* The same at node 2, from either, with answers that come late. */
proctype follower()
{
	byte from;
end:	do
	:: d_step { !held && !cut && PULL_NEWS(2, 0) -> answer = view[0]; held = true }
	:: d_step { !held && PULL_NEWS(2, 1) && (cut || view[1] == view[0]) -> answer = view[1]; held = true }
	:: d_step { held ->
			held = false;
			if
			:: answer != NONE -> hear(2, answer)
#ifdef ABSENT_IS_GONE
			:: else -> lack(2, true)
#else
			:: else -> lack(2, false)
#endif
			fi;
			answer = NONE
		}
	od
}

/* The store drops the entry; node 0 is cut off and comes back, or does not. */
proctype faults()
{
end:	do
	:: d_step { drops < 1 && entry == READY -> drops++; entry = NONE }
	:: d_step { cuts < 2 && !cut -> cuts++; cut = true }
	:: d_step { cut && !forever -> cut = false }
	:: d_step { cut && !forever && cuts == 2 -> forever = true }
	od
}

#define AS_IT_IS(n) (view[n] == (x == READY -> READY : NONE) && !missing[n])

/* Where nothing can move any more, every node but one that is cut off knows X as it is. */
proctype settled()
{
end:	do
	:: timeout ->
		assert(x == GONE || x == READY && entry == READY);
		assert(cut || AS_IT_IS(0));
		assert(AS_IT_IS(1));
		assert(AS_IT_IS(2));
		break
	od
}

init {
	atomic {
		run member();
		run reader(0);
		run reader(1);
		run vouching(0);
		run vouching(1);
		run vouching(2);
		run reserve();
		run follower();
		run faults();
		run settled()
	}
}
