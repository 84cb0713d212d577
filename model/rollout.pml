/*
 * Rollouts: two nodes carry out the orders for one pool while later orders replace earlier
 * ones, the store's responses are lost, and a node pauses between its read and its write
 * or restarts.
 *
 * In every reachable state: an order's outcome is written once and never changed, no
 * order is reported as completed unless the store holds its shift, and a version that was
 * rolled back, or replaced before an outcome, is never shifted to again. In every
 * terminal state, the last order has an outcome.
 *
 * Orders are numbered. Each has its own version, except that the third may name the
 * first one's version again. The candidate's comparison with the current version may
 * have either result at any time.
 */

// seeded: WRITE_BLIND writes the status without comparing
// seeded: SHIFT_BLIND writes the progress without comparing
// seeded: COMPLETE_UNSHIFTED completes without checking that the shift was written
// seeded: STATUS_ALONE writes the status without comparing the progress
// seeded: FORGET_BARRED a write of the progress drops the barred versions

#define NODES 2
#define ORDERS 3
#define RUNNING 1
#define COMPLETED 2
#define ROLLED_BACK 3
#define FINAL(s) ((s) == COMPLETED || (s) == ROLLED_BACK)
#define LOSSES 1
#define RESTARTS 1

byte order;       /* the store: the latest order, 0 for none */
bool reuse_first; /* the third order names the first one's version */
#define VERSION(o) ((o) == 3 && reuse_first -> 1 : (o))
#define BIT(o) (1 << VERSION(o))

byte state, status_of, status_rev; /* the store: the status, the version it is of, its revision */
byte progress_of, progress_rev;    /* the store: the order in progress, and the revision */
bool shifted;
byte barred;                       /* the store: bit set of versions that must not be shifted to */

/* The values above as each node last received them; it also bars versions itself. */
byte k_order[NODES], k_state[NODES], k_status_of[NODES], k_status_rev[NODES];
byte k_progress_of[NODES], k_progress_rev[NODES], k_barred[NODES];
bool k_shifted[NODES];

byte reported[4];    /* by order: the outcome reported to operators */
bool rolled_back[4]; /* by version: it was rolled back */
byte losses, restarts;

/* control/fleet: a node reads the store, or receives its content from another node. */
inline refresh(n)
{
	if
	:: k_order[n] != 0 && k_order[n] != order && !(FINAL(k_state[n]) && k_status_of[n] == VERSION(k_order[n])) ->
		k_barred[n] = k_barred[n] | BIT(k_order[n])
	:: else
	fi;
	k_order[n] = order;
	k_state[n] = state; k_status_of[n] = status_of; k_status_rev[n] = status_rev;
	k_progress_of[n] = progress_of; k_shifted[n] = shifted; k_progress_rev[n] = progress_rev;
	if
	:: state == COMPLETED -> k_barred[n] = k_barred[n] & ~(1 << status_of)
	:: else
	fi;
	k_barred[n] = k_barred[n] | barred
}

#ifdef STATUS_ALONE
#define PROGRESS_SEEN(n) true
#else
#define PROGRESS_SEEN(n) (k_progress_rev[n] == progress_rev)
#endif

inline write_status(n, s)
{
	if
#ifdef WRITE_BLIND
	:: true ->
#else
	:: k_status_rev[n] == status_rev && PROGRESS_SEEN(n) ->
#endif
		if
		:: FINAL(s) ->
			assert(reported[k_order[n]] == 0 || reported[k_order[n]] == s);
			assert(s != COMPLETED || (progress_of == k_order[n] && shifted));
			reported[k_order[n]] = s;
			rolled_back[VERSION(k_order[n])] = rolled_back[VERSION(k_order[n])] || s == ROLLED_BACK
		:: else
		fi;
		state = s; status_of = VERSION(k_order[n]); status_rev++
	:: else
	fi
}

inline write_progress(n, shift, bars)
{
	if
#ifdef SHIFT_BLIND
	:: true ->
#else
	:: k_progress_rev[n] == progress_rev ->
#endif
		assert(!shift || !rolled_back[VERSION(k_order[n])]);
		progress_of = k_order[n]; shifted = shift;
#ifdef FORGET_BARRED
		barred = 0;
#else
		barred = k_barred[n] | bars;
#endif
		progress_rev++
	:: else
	fi
}

/* The writer reads the store after its write, unless the response is lost. */
inline refresh_unless_lost(n)
{
	if
	:: losses < LOSSES -> losses++
	:: true -> refresh(n)
	fi
}

/* policy/rollout: Rollout.Stage and Next. */
#define DECIDED(n) (k_order[n] == 0 || (FINAL(k_state[n]) && k_status_of[n] == VERSION(k_order[n])))
#define IS_BARRED(n) ((k_barred[n] & BIT(k_order[n])) != 0)
#define IN_PROGRESS(n) (k_progress_of[n] == k_order[n])
#define STATUS_RUNNING(n) (k_state[n] == RUNNING && k_status_of[n] == VERSION(k_order[n]))
#ifdef COMPLETE_UNSHIFTED
#define MAY_COMPLETE(n) true
#else
#define MAY_COMPLETE(n) k_shifted[n]
#endif
#define OUTDATED(n) (k_order[n] != order || k_status_rev[n] != status_rev || k_progress_rev[n] != progress_rev)

proctype node(byte me)
{
end:	do
	:: d_step { OUTDATED(me) -> refresh(me) }
	:: d_step { !DECIDED(me) && !IS_BARRED(me) && !IN_PROGRESS(me) -> write_progress(me, false, 0); refresh_unless_lost(me) }
	:: d_step { !DECIDED(me) && !IS_BARRED(me) && IN_PROGRESS(me) && !STATUS_RUNNING(me) -> write_status(me, RUNNING); refresh_unless_lost(me) }
	:: d_step { !DECIDED(me) && !IS_BARRED(me) && IN_PROGRESS(me) && STATUS_RUNNING(me) && !k_shifted[me] -> write_progress(me, true, 0); refresh_unless_lost(me) }
	:: d_step { !DECIDED(me) && !IS_BARRED(me) && IN_PROGRESS(me) && STATUS_RUNNING(me) && MAY_COMPLETE(me) -> write_status(me, COMPLETED); refresh_unless_lost(me) }
	/* On a fault, or if the node has barred the version, the bar is written to the
	   progress before the status is written. */
	:: d_step { !DECIDED(me) && !IS_BARRED(me) && IN_PROGRESS(me) && STATUS_RUNNING(me) -> write_progress(me, k_shifted[me], BIT(k_order[me])); refresh_unless_lost(me) }
	:: d_step { !DECIDED(me) && IS_BARRED(me) && (barred & BIT(k_order[me])) == 0 -> write_progress(me, false, BIT(k_order[me])); refresh_unless_lost(me) }
	:: d_step { !DECIDED(me) && IS_BARRED(me) && (barred & BIT(k_order[me])) != 0 -> write_status(me, ROLLED_BACK); refresh_unless_lost(me) }
	:: d_step { restarts < RESTARTS -> restarts++; k_order[me] = 0; k_barred[me] = 0; refresh(me) }
	od
}

/* Places the orders; the third may reuse the first one's version. */
proctype operator()
{
	if
	:: reuse_first = true
	:: true
	fi;
	do
	:: d_step { order < ORDERS -> order++ }
	:: order == ORDERS -> break
	od
}

/* Checks the terminal states, in which no other process can move. */
proctype terminal_check()
{
	timeout;
	assert(order == 0 || (FINAL(state) && status_of == VERSION(order)))
}

init { atomic { run operator(); run node(0); run node(1); run terminal_check() } }
