/*
 * At most once: two sends of one call claim its key from the row's holders,
 * while the table of holders goes through two epochs, holders crash and come
 * back as new processes, and messages are late, lost and out of order.
 *
 * In every reachable state the call has run at most once.
 *
 * Process 0, 1 and 2 hold the row in epoch 1; 0, 1 and 3 in epoch 2.
 * A holder that restarts takes the place of the one that held the
 * row under its name. The call's key has no time of its own, so a blank holder
 * refuses it.
 */

// seeded: ONE_IS_ENOUGH runs with one grant
// seeded: MIXED_EPOCHS counts grants of two epochs together
// seeded: SEAL_FORGOTTEN hands out records and goes on granting
// seeded: SERVE_EMPTY serves an epoch without the records of the one before
// seeded: ONE_SEAL takes one sealed holder for enough
// seeded: BLANK_GRANTS grants a key that may have been lost
// seeded: RESTART_KEEPS_ROW serves the old epoch after a restart without memory
// seeded: FIRST_RECORD_WINS keeps one of two claims that it takes over
// seeded: REGRANT grants a claim again in a later epoch
// seeded: ABANDON_RUNNING gives back the claim of a call whose answer was lost

#define HOLDERS 4
#define EPOCHS 2
#define SENDS 2
#define CRASHES 1
/* Two sends have claims: neither gets another grant here. */
#define NOBODY 9

byte table = 1;             /* the epoch in the store */
byte epoch[HOLDERS] = 1;    /* the epoch each holder has adopted */
bool serving[HOLDERS];      /* it has what it needs for that epoch */
bool carried[HOLDERS];      /* its record is whole up to the epoch before */
bool sealed[HOLDERS];
bool blank[HOLDERS];
byte record[HOLDERS];       /* the send that holds the claim here, from 1 */
bool taken[HOLDERS];        /* the claim was granted in an epoch before */
byte accounted[HOLDERS];    /* bits of the previous holders sealed or lost */
byte states[HOLDERS];       /* how many of those brought their record */
byte lost[HOLDERS];         /* the epochs that an earlier process of this name held, a bit each */
byte crashes, ran;
byte asks[SENDS];           /* the epoch a send asks at */
byte granted[SENDS];        /* bits of the holders that granted it at that epoch */
bool finished[SENDS], gaveback[SENDS], hasrun[SENDS];

/* A process that took another's place is no holder of the epochs that the other
   was one in. */
#define NAMED(h, e) (((e) == 1 && (h) != 3) || ((e) == 2 && (h) != 2) )
#define HOLDS(h, e) (NAMED(h, e) && !(lost[h] & BIT(e)))
#define BIT(h) (1 << (h))
#define TWO(b) ((b) == 3 || (b) == 5 || (b) == 6 || (b) == 9 || (b) == 10 || (b) == 12 || (b) == 7 || (b) == 11 || (b) == 13 || (b) == 14)
#ifdef ONE_IS_ENOUGH
#define ENOUGH(b) ((b) != 0)
#else
#define ENOUGH(b) TWO(b)
#endif
#ifdef ONE_SEAL
#define COVERED(b) ((b) != 0)
#define STATES 1
#else
#define STATES 2
#define COVERED(b) TWO(b)
#endif

/* Ledger.account */
inline account(node, who, got)
{
	accounted[node] = accounted[node] | BIT(who);
	states[node] = states[node] + got;
	if
	:: COVERED(accounted[node]) ->
		serving[node] = true;
		if
		:: states[node] < STATES -> blank[node] = true
		:: else
		fi;
		accounted[node] = 0; states[node] = 0
	:: else
	fi
}

/* Ledger.Adopt: epochs may be left out. */
inline adopt(n)
{
	carried[n] = serving[n] && epoch[n] == table - 1;
	if
	:: !carried[n] -> record[n] = 0; blank[n] = false
	:: else
	fi;
	taken[n] = record[n] != 0;
	epoch[n] = table; serving[n] = false; sealed[n] = false; accounted[n] = 0; states[n] = 0;
	if
#ifdef SERVE_EMPTY
	:: HOLDS(n, table) -> serving[n] = true
#endif
	:: HOLDS(n, table) && NAMED(n, table - 1) && carried[n] -> account(n, n, 1)
	:: HOLDS(n, table) && NAMED(n, table - 1) && !carried[n] && (lost[n] & BIT(table - 1)) -> account(n, n, 0)
	:: else
	fi
}

/* Ledger.Seal and Merge, in one step: a late answer to a seal changes nothing,
   since the sealed holder has stopped. */
inline seal(h, from)
{
	if
	:: lost[from] & BIT(epoch[h] - 1) -> account(h, from, 0)
	:: else ->
		if
		:: epoch[from] == epoch[h] - 1 ->
#ifndef SEAL_FORGOTTEN
			sealed[from] = true
#else
			skip
#endif
		:: else
		fi;
		if
		:: record[from] != 0 && record[h] == 0 -> record[h] = record[from]; taken[h] = true
#ifdef FIRST_RECORD_WINS
		:: false
#else
		:: record[from] != 0 && record[h] != 0 && record[h] != record[from] -> record[h] = NOBODY
#endif
		:: else
		fi;
		blank[h] = blank[h] || blank[from];
		account(h, from, 1)
	fi
}

#define CAN_SEAL(h, f) ((f) != (h) && HOLDS(h, epoch[h]) && epoch[h] > 1 && !serving[h] && NAMED(f, epoch[h] - 1) && \
	!(accounted[h] & BIT(f)) && ((lost[f] & BIT(epoch[h] - 1)) || (epoch[f] == epoch[h] - 1 && serving[f]) || \
	(epoch[f] == epoch[h] && carried[f])))

/* A crash loses all: the new process adopts the table before it serves, and
   answers for all epochs that its name held before. */
inline crash(h)
{
	crashes++;
#ifndef RESTART_KEEPS_ROW
	lost[h] = lost[h] | ((1 << (epoch[h] + 1)) - 1);
	serving[h] = false;
#endif
	record[h] = 0; taken[h] = false; accounted[h] = 0; states[h] = 0;
	sealed[h] = false; carried[h] = false; blank[h] = false
}

proctype holder(byte h)
{
	byte f;
end:	do
	:: d_step { epoch[h] < table -> adopt(h) }
	:: d_step { CAN_SEAL(h, 0) -> seal(h, 0) }
	:: d_step { CAN_SEAL(h, 1) -> seal(h, 1) }
	:: d_step { CAN_SEAL(h, 2) -> seal(h, 2) }
	:: d_step { CAN_SEAL(h, 3) -> seal(h, 3) }
	:: d_step { crashes < CRASHES -> crash(h) }
	od
}

/* Replaces a holder by compare-and-swap, whatever the holders do. */
proctype manager()
{
end:	do
	:: d_step { table < EPOCHS -> table++ }
	od
}

#ifdef BLANK_GRANTS
#define PROVES_NEW(h) true
#else
#define PROVES_NEW(h) (!blank[h])
#endif
#ifdef REGRANT
#define MINE(s, h) (record[h] == s + 1)
#else
#define MINE(s, h) (record[h] == s + 1 && !taken[h])
#endif
#define ANSWERS(h, e) (epoch[h] == (e) && serving[h] && !sealed[h] && HOLDS(h, e))
#define GRANTS(s, h) (!finished[s] && ANSWERS(h, asks[s]) && \
	(MINE(s, h) || (record[h] == 0 && PROVES_NEW(h))))

inline grant(s, h)
{
	record[h] = s + 1;
	granted[s] = granted[s] | BIT(h)
}

#ifdef ABANDON_RUNNING
#define GIVES_BACK(s) finished[s]
#else
#define GIVES_BACK(s) (finished[s] && gaveback[s])
#endif

/* Decide, then the call runs or not; an abandoned claim is taken out at any
   holders that the message reaches, now or later. Once none is left, the caller
   sends the call again. */
proctype sender(byte s)
{
	byte h;
	asks[s] = 1;
end:	do
	:: d_step { GRANTS(s, 0) -> grant(s, 0) }
	:: d_step { GRANTS(s, 1) -> grant(s, 1) }
	:: d_step { GRANTS(s, 2) -> grant(s, 2) }
	:: d_step { GRANTS(s, 3) -> grant(s, 3) }
	:: d_step { !finished[s] && asks[s] < table -> asks[s]++;
#ifndef MIXED_EPOCHS
		granted[s] = 0
#endif
		}
	:: d_step { !finished[s] && ENOUGH(granted[s]) -> finished[s] = true; granted[s] = 0; asks[s] = 0; hasrun[s] = true; ran++; assert(ran <= 1) }
	:: d_step { !finished[s] -> finished[s] = true; granted[s] = 0; asks[s] = 0; gaveback[s] = true }
	:: d_step { GIVES_BACK(s) && record[0] == s + 1 -> record[0] = 0; taken[0] = false }
	:: d_step { GIVES_BACK(s) && record[1] == s + 1 -> record[1] = 0; taken[1] = false }
	:: d_step { GIVES_BACK(s) && record[3] == s + 1 -> record[3] = 0; taken[3] = false }
	:: d_step { finished[s] && gaveback[s] && record[0] != s + 1 && record[1] != s + 1 && record[2] != s + 1 && record[3] != s + 1 ->
		finished[s] = false; gaveback[s] = false; asks[s] = 1 }
	od
}

init {
	atomic {
		serving[0] = true; serving[1] = true; serving[2] = true;
		run manager(); run holder(0); run holder(1); run holder(2); run holder(3);
		run sender(0); run sender(1)
	}
}
