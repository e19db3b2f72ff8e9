/*
 * What witnesses tell a new owner on the cooperative platform: whether an earlier owner may
 * still extend the leases of runs.
 *
 * Without the store, an owner extends leases only while at least half of its witnesses have
 * confirmed within CONFIRM that they know no later owner. Its record in the store names
 * the witnesses. A new owner asks them: a witness that has answered confirms no earlier
 * owner any more, and says for how long it has confirmed none. If that is at least CONFIRM
 * for more than half of the witnesses of each earlier owner that is not known to have
 * ended, none of these may extend leases any more, and the new owner waits for LEASE only.
 * lease.pml has the other ways in which it can know that.
 *
 * A witness may restart; it forgets what it has said, and counts the time from its start.
 * It confirms an owner only if it has itself read the key of this owner, since its start.
 * An owner may change its witnesses; while that write has no answer, it needs the
 * confirmations of both sets.
 *
 * The model checks that no owner starts the run elsewhere while the worker's lease lasts.
 * An owner's own extensions are left out, since it knows of them.
 *
 * Variants:
 *   THREE         three witnesses, which do not restart
 *   CHAIN         three owners with one witness each, each with another one
 *   CHANGE        two owners, of which the first changes its one witness
 *
 * Mutants:
 *   HALF          half of the witnesses are enough for a new owner
 *   ONE           one confirmation is enough for an owner
 *   FORGETFUL     a restarted witness does not count the time from its start
 *   HEARSAY       a witness confirms an owner whose key it has not read
 *   RELAPSE       a witness confirms an earlier owner after it has answered a later one
 *   RECENT        a new owner ignores for how long a witness has confirmed none
 *   LAST_ONLY     only the witnesses of the last owner are asked
 *   USE_EARLY     an owner uses new witnesses before they are known to be stored
 *   NO_EXPECT     a campaign does not depend on the record that it has read
 */
#if defined(CHAIN) || defined(LAST_ONLY)
#define TERMS 3
#define W 2
#define SET(n) n                /* witness 0 for the first owner, 1 for the second */
#elif defined(CHANGE) || defined(USE_EARLY) || defined(NO_EXPECT)
#define CHANGES
#define TERMS 2
#define W 2
#define SET(n) 1
#define NEXT_SET 2
#elif defined(THREE) || defined(ONE)
#define TERMS 2
#define W 3
#define SET(n) 7
#else
#define TERMS 2
#define W 2
#define SET(n) 3
#endif
#define LEASE 1
#define OWNER_LEASE 1
#define CONFIRM 2
#if TERMS == 3
#define END 3
#else
#define END 4
#endif

#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))
#define HAS(m, x) (((m) >> (x)) & 1)

byte now = 0;
byte leaseEnd = 0;              /* of the worker's runs */

byte fence = 0;                 /* of the last term */
bool key = false;               /* the owner key exists */

/* By term, from 1. */
bool links[TERMS + 1];          /* the links to workers run */
byte renewed[TERMS + 1];
byte set[TERMS + 1];            /* the witnesses */
byte newSet[TERMS + 1];         /* those of a write without an answer, or 0 */
byte fresh[TERMS + 1];          /* witnesses that have confirmed in this step */
byte recent[TERMS + 1];         /* in the step before */

/* The last owner: the witnesses of the earlier owners that may extend leases, those that
 * have confirmed none for CONFIRM, and when it knew that nobody may. */
byte before, beforeThat, quiet, settledAt;
bool settled = true;

/* The record of the last term, and what a candidate has read of it. */
byte recSet, recBefore, recVersion, readSet, readBefore, readVersion;
bool haveRead = false;

/* The write of the first owner's new witnesses. */
bool sent = false;
bool executed = false;
byte expected;

/* By witness. Times are one more than the clock, and 0 is never. */
byte confirmedAt[W];
byte startedAt[W];
byte highest[W];                /* the last owner that it was told of */
byte stored[W];                 /* the last owner whose key it has read */

#ifdef ONE
#define ENOUGH(s, m) (COUNT((s) & (m)) >= 1)
#else
#define ENOUGH(s, m) (2 * COUNT((s) & (m)) >= COUNT(s))
#endif

#ifdef HALF
#define MOST(s, m) (2 * COUNT((s) & (m)) >= COUNT(s))
#else
#define MOST(s, m) (2 * COUNT((s) & (m)) > COUNT(s))
#endif

#ifdef USE_EARLY
#define CONFIRMED(n) ENOUGH((newSet[n] -> newSet[n] : set[n]), fresh[n] | recent[n])
#else
#define CONFIRMED(n) (ENOUGH(set[n], fresh[n] | recent[n]) && (newSet[n] == 0 || ENOUGH(newSet[n], fresh[n] | recent[n])))
#endif

#ifdef LAST_ONLY
#define ALL_QUIET MOST(before, quiet)
#else
#define ALL_QUIET (MOST(before, quiet) && (beforeThat == 0 || MOST(beforeThat, quiet)))
#endif

#ifdef HEARSAY
#define MAY_CONFIRM(n, x) (highest[x] <= n)
#elif defined(RELAPSE)
#define MAY_CONFIRM(n, x) (stored[x] == n)
#else
#define MAY_CONFIRM(n, x) (stored[x] == n && highest[x] <= n)
#endif

#ifdef FORGETFUL
#define SILENT_SINCE(x) (confirmedAt[x])
#else
#define SILENT_SINCE(x) (confirmedAt[x] > startedAt[x] -> confirmedAt[x] : startedAt[x])
#endif

#ifdef RECENT
#define IS_QUIET(x) true
#else
#define IS_QUIET(x) (SILENT_SINCE(x) == 0 || now + 1 >= SILENT_SINCE(x) + CONFIRM)
#endif

#ifdef NO_EXPECT
#define SAME_RECORD true
#else
#define SAME_RECORD (readVersion == recVersion)
#endif

/* An owner is certain of its lease for OWNER_LEASE. */
#define CERTAIN(n) (now < renewed[n] + OWNER_LEASE)

#define EXTEND(n) atomic { n < fence && links[n] && now + LEASE > leaseEnd && (CERTAIN(n) || CONFIRMED(n)) -> \
	leaseEnd = now + LEASE }

/* The owner counts a confirmation from when it asked for it, which is not later than the
 * witness gave it. */
#define CONFIRM_BY(n, x) atomic { links[n] && !CERTAIN(n) && HAS(set[n] | newSet[n], x) && !HAS(fresh[n], x) && MAY_CONFIRM(n, x) -> \
	confirmedAt[x] = now + 1; fresh[n] = fresh[n] | (1 << x) }

#define ASK(x) atomic { !settled && HAS(before | beforeThat, x) && !HAS(quiet, x) -> \
	highest[x] = fence; \
	if \
	:: IS_QUIET(x) -> quiet = quiet | (1 << x) \
	:: else -> skip \
	fi }

#if W == 3
#define RESTART(x) atomic { false }
#else
#define RESTART(x) atomic { fence > 0 && (confirmedAt[x] || highest[x] || stored[x]) -> \
	startedAt[x] = now + 1; confirmedAt[x] = 0; highest[x] = 0; stored[x] = 0 }
#endif

#define READ_KEY(x) atomic { key && fence < TERMS && stored[x] != fence -> stored[x] = fence }

inline begin() {
	fence++;
	links[fence] = true;
	renewed[fence] = now;
	set[fence] = SET(fence);
	before = readSet;
	beforeThat = readBefore;
	quiet = 0;
	settled = (fence == 1);
	recSet = set[fence];
	recBefore = (settled -> 0 : before);
	recVersion++;
	haveRead = false;
	readSet = 0; readBefore = 0; readVersion = 0;
	key = true
}

active proctype System() {
	do
	:: atomic { now < END -> now++; recent[1] = fresh[1]; recent[2] = fresh[2]; fresh[1] = 0; fresh[2] = 0 }
	:: atomic { !key && fence < TERMS && !haveRead ->
		haveRead = true; readSet = recSet; readBefore = recBefore; readVersion = recVersion }
	:: atomic { !key && haveRead && SAME_RECORD -> begin() }
	:: atomic { haveRead && (key || !SAME_RECORD) -> haveRead = false; readSet = 0; readBefore = 0; readVersion = 0 }
	:: atomic { key && !CERTAIN(fence) -> key = false }                      /* the lease expires */
	:: atomic { key && links[fence] && renewed[fence] != now -> renewed[fence] = now }
	:: EXTEND(1)
	:: CONFIRM_BY(1, 0)
	:: CONFIRM_BY(1, 1)
	:: ASK(0)
	:: ASK(1)
	:: READ_KEY(0)
	:: READ_KEY(1)
	:: RESTART(0)
	:: RESTART(1)
	:: atomic { links[1] -> links[1] = false }                               /* its process ends */
#if W == 3
	:: CONFIRM_BY(1, 2)
	:: ASK(2)
	:: READ_KEY(2)
	:: RESTART(2)
#endif
#if TERMS == 3
	:: EXTEND(2)
	:: CONFIRM_BY(2, 0)
	:: CONFIRM_BY(2, 1)
	:: atomic { links[2] -> links[2] = false }
#endif
#ifdef CHANGES
	:: atomic { links[1] && !sent -> newSet[1] = NEXT_SET; sent = true; expected = 1 }
	:: atomic { sent && !executed && expected == recVersion -> executed = true; recSet = NEXT_SET; recVersion++ }
	:: atomic { links[1] && executed && newSet[1] != 0 -> set[1] = newSet[1]; newSet[1] = 0 }   /* the answer */
#endif
	:: atomic { !settled && ALL_QUIET -> settled = true; settledAt = now; recBefore = 0; recVersion++ }
	:: atomic { fence > 1 && settled && now >= settledAt + LEASE ->         /* the run is started elsewhere */
		assert(now >= leaseEnd); break }
	:: now == END -> break
	od
}
