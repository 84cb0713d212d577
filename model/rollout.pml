/*
 * Rollouts: two nodes decide on the orders for one pool while a second order replaces
 * the first one, answers of the store are lost, and a node stands still between what it
 * knows and what it writes, or starts anew.
 *
 * In every reachable state: an order's end is told once and never changed, none is told
 * to be completed whose shift the store does not hold, and a version that was rolled
 * back or replaced undecided is never in the shift again. Where nothing can move any
 * more, the last order has been told its end.
 *
 * Orders are numbered; each has a version of its own, but that the third may name the
 * first one's again. A comparison may go either way at any time.
 */

// seeded: WRITE_BLIND writes the status without comparing
// seeded: SHIFT_BLIND writes the progress without comparing
// seeded: COMPLETE_UNSHIFTED completes from its own view of the shift
// seeded: STATUS_ALONE writes the status without comparing the progress
// seeded: FORGET_BARRED an order's progress drops the versions that are barred

#define NODES 2
#define ORDERS 3
#define RUNNING 1
#define COMPLETED 2
#define BACK 3
#define FINAL(s) ((s) == COMPLETED || (s) == BACK)
#define LOSSES 1
#define STARTS 1

byte order;                     /* the store: the last order, 0 for none */
bool again;                     /* the third order names the first one's version */
#define VERSION(o) ((o) == 3 && again -> 1 : (o))
#define BIT(o) (1 << VERSION(o))

byte state, told_of, status_rev; /* the store: what was told, of which version */
byte progress_of, progress_rev;  /* the store: the order that is carried out */
bool shifted;
byte barred;                    /* the store: versions, a bit each */

byte k_order[NODES], k_state[NODES], k_told[NODES], k_status_rev[NODES];
byte k_of[NODES], k_progress_rev[NODES], k_barred[NODES];
bool k_shifted[NODES];

byte ended[4];                  /* by order: the end that operators were told */
bool refused[4];                /* by version: it was rolled back or replaced */
byte losses, starts;

/* control/fleet: what a node reads, or hears of from others. */
inline learn(n)
{
	if
	:: k_order[n] != 0 && k_order[n] != order && !(FINAL(k_state[n]) && k_told[n] == VERSION(k_order[n])) ->
		k_barred[n] = k_barred[n] | BIT(k_order[n])
	:: else
	fi;
	k_order[n] = order;
	k_state[n] = state; k_told[n] = told_of; k_status_rev[n] = status_rev;
	k_of[n] = progress_of; k_shifted[n] = shifted; k_progress_rev[n] = progress_rev;
	if
	:: state == COMPLETED -> k_barred[n] = k_barred[n] & ~(1 << told_of)
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
			assert(ended[k_order[n]] == 0 || ended[k_order[n]] == s);
			assert(s != COMPLETED || (progress_of == k_order[n] && shifted));
			ended[k_order[n]] = s;
			refused[VERSION(k_order[n])] = refused[VERSION(k_order[n])] || s == BACK
		:: else
		fi;
		state = s; told_of = VERSION(k_order[n]); status_rev++
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
		assert(!shift || !refused[VERSION(k_order[n])]);
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

/* What was written is learnt, but where the answer is lost. */
inline hear(n)
{
	if
	:: losses < LOSSES -> losses++
	:: true -> learn(n)
	fi
}

/* policy/rollout: Rollout.Stage and Next. */
#define DECIDED(n) (k_order[n] == 0 || (FINAL(k_state[n]) && k_told[n] == VERSION(k_order[n])))
#define IS_BARRED(n) ((k_barred[n] & BIT(k_order[n])) != 0)
#define TAKEN_ON(n) (k_of[n] == k_order[n])
#define TOLD(n) (k_state[n] == RUNNING && k_told[n] == VERSION(k_order[n]))
#ifdef COMPLETE_UNSHIFTED
#define MAY_COMPLETE(n) true
#else
#define MAY_COMPLETE(n) k_shifted[n]
#endif
#define STALE(n) (k_order[n] != order || k_status_rev[n] != status_rev || k_progress_rev[n] != progress_rev)

proctype node(byte me)
{
end:	do
	:: d_step { STALE(me) -> learn(me) }
	:: d_step { !DECIDED(me) && !IS_BARRED(me) && !TAKEN_ON(me) -> write_progress(me, false, 0); hear(me) }
	:: d_step { !DECIDED(me) && !IS_BARRED(me) && TAKEN_ON(me) && !TOLD(me) -> write_status(me, RUNNING); hear(me) }
	:: d_step { !DECIDED(me) && !IS_BARRED(me) && TAKEN_ON(me) && TOLD(me) && !k_shifted[me] -> write_progress(me, true, 0); hear(me) }
	:: d_step { !DECIDED(me) && !IS_BARRED(me) && TAKEN_ON(me) && TOLD(me) && MAY_COMPLETE(me) -> write_status(me, COMPLETED); hear(me) }
	/* A fault, or what is barred: the version is barred first. */
	:: d_step { !DECIDED(me) && !IS_BARRED(me) && TAKEN_ON(me) && TOLD(me) -> write_progress(me, k_shifted[me], BIT(k_order[me])); hear(me) }
	:: d_step { !DECIDED(me) && IS_BARRED(me) && (barred & BIT(k_order[me])) == 0 -> write_progress(me, false, BIT(k_order[me])); hear(me) }
	:: d_step { !DECIDED(me) && IS_BARRED(me) && (barred & BIT(k_order[me])) != 0 -> write_status(me, BACK); hear(me) }
	:: d_step { starts < STARTS -> starts++; k_order[me] = 0; k_barred[me] = 0; learn(me) }
	od
}

proctype operator()
{
	if
	:: again = true
	:: true
	fi;
	do
	:: d_step { order < ORDERS -> order++ }
	:: order == ORDERS -> break
	od
}

proctype settled()
{
	timeout;
	assert(order == 0 || (FINAL(state) && told_of == VERSION(order)))
}

init { atomic { run operator(); run node(0); run node(1); run settled() } }
