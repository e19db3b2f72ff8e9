/*
 * Gang start and stop: reserve on the workers of all members, commit in the
 * journal, start all members, renew the task leases of all members together.
 *
 * Two nodes can own the placement shard. An earlier owner may be paused at any
 * step and resume later. Commands and their responses can be lost. A worker
 * rejects an epoch below the highest that it has received. A task whose lease is
 * not renewed ends. The journal accepts entries of the newest epoch only
 * (journal.pml).
 *
 * The property of task leases: after a member has failed, the others end within
 * one lease duration. A round of the model is one lease duration: tasks that were
 * not renewed in a round end with it.
 *
 * Mutants:
 *   NO_WORKER_CHECK  a worker accepts any epoch
 *   START_BEFORE_COMMIT  members are started before the commit entry
 *   NO_TENURE_CHECK  a command is sent after a pause without a check of the term
 *   RENEW_ALONE      a member's lease is renewed although another member has failed
 *   NO_RESERVE_ALL   the commit does not wait for every reservation
 */
#define MEMBERS 2
#define NODES 2
#define MAXEPOCH 2
#define LOSSES 2
#define FAILS 1
#define MAXROUNDS 3

byte epoch = 0;           /* of the last takeover entry in the journal */
bool committed = false;   /* the commit entry is in the journal */
bool stopped = false;     /* the stop entry is in the journal: the job is queued again as another attempt */

byte seen[MEMBERS];       /* highest epoch that the worker has received */
bool reserved[MEMBERS];
bool running[MEMBERS];
bool failed[MEMBERS];
bool renewed[MEMBERS];
byte broken = 0;          /* consecutive rounds with a failed member and a running one */
byte losses = 0;
byte fails = 0;
byte rounds = 0;

#define ALL_RESERVED (reserved[0] && reserved[1])
#define ANY_RUNNING (running[0] || running[1])
#define ALL_RUNNING (running[0] && running[1])

/* ok tells whether a worker accepts a command of an epoch. */
inline accepts(m, e, ok) {
#ifdef NO_WORKER_CHECK
	ok = !failed[m];
#else
	ok = (!failed[m] && e >= seen[m]);
	if
	:: ok -> seen[m] = e
	:: else
	fi
#endif
}

inline lose(answered) {
	if
	:: answered = true
	:: losses < LOSSES -> losses++; answered = false
	fi
}

active [NODES] proctype Owner() {
	byte mine = 0; byte m; byte checked;
	bool ok, answered, all;
	bool knowsCommit;
end:
	do
	:: atomic { epoch < MAXEPOCH -> /* takeover: read the journal, query the workers */
		epoch++; mine = epoch; knowsCommit = committed; m = 0;
		do
		:: m < MEMBERS ->
			/* the query contains the epoch, so that the worker rejects the earlier owner */
			if :: !failed[m] -> seen[m] = (seen[m] < mine -> mine : seen[m]) :: else fi;
			/* a reservation without a commit is released */
			if :: !knowsCommit -> reserved[m] = false :: else fi;
			m++
		:: else -> break
		od;
		m = 0 }

	:: mine != 0 && !knowsCommit && !stopped -> /* reserve on all workers, then commit */
		m = 0; all = true;
		do
		:: m < MEMBERS ->
			atomic {
				accepts(m, mine, ok);
				if :: skip :: ok = false /* not enough free resources */ fi;
				if :: ok -> reserved[m] = true :: else fi;
				lose(answered);
				all = (all && ok && answered); m++ }
		:: else -> break
		od;
#ifdef START_BEFORE_COMMIT
		if :: all -> m = 0; atomic { accepts(m, mine, ok); if :: ok -> assert(committed); running[0] = true :: else fi } :: else fi;
#endif
#ifdef NO_RESERVE_ALL
		all = true;
#endif
		if
		:: atomic { all && mine == epoch && !stopped ->
			/* every member is reserved when the commit is written */
			assert(ALL_RESERVED || fails > 0);
			committed = true; knowsCommit = true }
		:: atomic { all && mine != epoch -> mine = 0 } /* fenced by the journal */
		:: !all -> /* release all */
			m = 0;
			do
			:: m < MEMBERS ->
				atomic { accepts(m, mine, ok); if :: ok && !committed -> reserved[m] = false :: else fi; m++ }
			:: else -> break
			od
		fi;
		m = 0

	:: mine != 0 && knowsCommit && !stopped -> /* start all members, again after a lost response */
		m = 0;
		do
		:: m < MEMBERS ->
			atomic {
				accepts(m, mine, ok);
				/* a worker rejects a start without a reservation */
				ok = (ok && reserved[m]);
				/* a repeated start changes nothing: it does not renew the lease */
				if
				:: ok && !running[m] -> assert(committed); assert(!stopped); running[m] = true; renewed[m] = true
				:: else
				fi;
				m++ } /* after a lost response the start is repeated, which changes nothing */
		:: else -> break
		od;
		m = 0

	:: mine != 0 && knowsCommit && !stopped -> /* renew only while every member is confirmed running */
		m = 0; all = true; checked = rounds;
		do
		:: m < MEMBERS ->
			atomic { accepts(m, mine, ok); all = (all && ok && running[m]); m++ }
		:: else -> break
		od;
#ifdef RENEW_ALONE
		all = true;
#endif
		if
		:: all ->
			m = 0;
			do
			:: m < MEMBERS ->
				/* The owner checks its term just before each command. A pause of
				   one task lease is longer than the owner's lease and so ends the
				   term. */
#ifdef NO_TENURE_CHECK
				atomic { accepts(m, mine, ok);
#else
				atomic { accepts(m, mine, ok); ok = (ok && checked == rounds);
#endif
					if :: ok && running[m] -> renewed[m] = true :: else fi; m++ }
			:: else -> break
			od
		:: !all -> /* a member is not running: journal the stop, then stop the others */
			if
			:: atomic { mine == epoch -> stopped = true }
			:: atomic { mine != epoch -> mine = 0 }
			fi
		fi;
		m = 0

	:: mine != 0 && stopped -> /* stop commands; if one is lost, the task ends with its lease */
		m = 0;
		do
		:: m < MEMBERS ->
			atomic { accepts(m, mine, ok); if :: ok -> running[m] = false; reserved[m] = false :: else fi; m++ }
		:: else -> break
		od;
		m = 0; mine = 0

	:: mine != 0 -> mine = 0 /* the node fails */
	od
}

/* One lease duration passes: the tasks that were not renewed in it end. */
active proctype Leases() {
end:
	do
	:: atomic { rounds < MAXROUNDS && committed ->
		rounds++;
		if :: running[0] && !renewed[0] -> running[0] = false; reserved[0] = false :: else fi;
		if :: running[1] && !renewed[1] -> running[1] = false; reserved[1] = false :: else fi;
		renewed[0] = false; renewed[1] = false;
		/* After a member has failed, the others run at most to the end of the
		   next round. */
		if
		:: (failed[0] && running[1]) || (failed[1] && running[0]) -> broken++
		:: else -> broken = 0
		fi;
		assert(broken < 2) }
	od
}

/* A worker fails, and its task with it. */
active proctype Failure() {
end:
	do
	:: atomic { fails < FAILS && (running[0] || reserved[0]) -> fails++; failed[0] = true; running[0] = false; reserved[0] = false }
	od
}
