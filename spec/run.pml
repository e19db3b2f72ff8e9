/*
 * One task under changing owners on the cooperative platform: the commit key,
 * fences, run numbers, leases, and acknowledged ends of runs.
 *
 * Two nodes own the scheduler in turn. A change of owners can happen at any time,
 * also while the earlier owner still considers itself the owner. The response to a
 * transaction that takes effect can be lost, and a transaction can take effect
 * late. A worker can execute a start late. A worker can finish a run, or lose it
 * when its lease expires. An owner that can't reach a worker abandons its run once
 * the lease has expired. "period" counts the lease expiries of a worker, and an
 * order is valid in its own period only.
 *
 * Mutants:
 *   NO_FENCE       a worker executes orders of an earlier owner
 *   NO_CONDITION   a transaction does not depend on the commit key
 *   ACK_FIRST      an end is acknowledged before it is stored
 *   ORDER_FIRST    a start is sent before its record is stored
 *   NO_LAPSE       a run is abandoned before its lease has expired
 *   NO_STOP        a start without a response is not stopped before the next one
 *   NO_GRACE       a new owner does not wait until the earlier one can't grant leases
 */
#define WORKERS 2
#define TERMS 2
#define RUNS 2
#define LAPSES 1

#ifdef NO_FENCE
#define OBEYS(w) true
#else
#define OBEYS(w) (startFence[w] >= fence[w])
#endif
#ifdef NO_LAPSE
#define LAPSED true
#else
#define LAPSED (!inherited && period[place] > grantPeriod)
#endif

/* Whether a node considers itself the owner of the scheduler. */
bool owns[2];
#define mine owns[me]

/* The store. */
byte storeFence = 0; byte storeNumber = 0;
byte recPlace = 0; byte recRun = 0; bool recDone = false;

/* A pending transaction that may take effect late. */
bool lateTxn = false; byte lateFence; byte lateNumber; byte latePlace; byte lateRun; bool lateDone;

/* The workers, numbered from 1. */
byte fence[3]; byte running[3]; byte ended[3]; byte highest[3]; byte period[3];
bool lapsed[3]; /* the lease has expired since the run in "ended" ended */
bool acked = false; /* a successful end was acknowledged before its lease expired */

/* The pending start order to each worker. */
byte startRun[3]; byte startFence[3]; byte startPeriod[3];

byte terms = 0; byte lapses = 0; byte losses = 0;

/* commitTxn and resolveConflict in lib/controller: the condition is the version of the commit key. */
inline txn(f, n, place, current, isDone, ok) {
	ok = (storeFence == f && storeNumber == n);
#ifdef NO_CONDITION
	ok = true;
#endif
	if
	:: ok -> storeNumber = n + 1; recPlace = place; recRun = current; recDone = isDone
	:: else
	fi
}

/* The worker executes a start order. */
inline start(w) {
	if
	:: startRun[w] != 0 && startRun[w] > highest[w] && startPeriod[w] == period[w] && running[w] == 0 && OBEYS(w) ->
		if
		:: startFence[w] > fence[w] -> fence[w] = startFence[w]
		:: else
		fi;
		assert(!acked);
		assert(running[3 - w] == 0);
		running[w] = startRun[w]
	:: else
	fi;
	startRun[w] = 0
}

inline commit(place, current, isDone) {
	if
	:: atomic { txn(myFence, number, place, current, isDone, ok) }
	:: atomic { losses < 1 -> losses++; /* the response is lost; the retry finds the commit key with its own number */
		txn(myFence, number, place, current, isDone, ok) }
	:: atomic { losses < 1 && !lateTxn -> losses++; /* takes effect late: the retry takes effect first, or the condition fails */
		lateTxn = true; lateFence = myFence; lateNumber = number; latePlace = place; lateRun = current; lateDone = isDone;
		txn(myFence, number, place, current, isDone, ok) }
	fi;
	if
	:: ok -> number++
	:: else -> mine = false /* Fenced: another node has taken over */
	fi
}

proctype Owner(byte me) {
	bool inherited = false; byte myFence; byte number; byte place; byte current; bool isDone; bool ok;
	bool answered = false; byte grantPeriod; byte w; byte seen;
	do
	:: atomic { terms < TERMS && !mine -> /* Election.acquire, then session.load */
			terms++; storeFence++; storeNumber = 0; myFence = storeFence; number = 0; mine = true
		};
		atomic {
			if
			:: storeFence == myFence && storeNumber == 0 -> place = recPlace; current = recRun; isDone = recDone
			:: else -> mine = false
			fi;
			answered = true;
#ifndef NO_GRACE
			inherited = (place != 0);
#endif
			if
			:: place != 0 -> grantPeriod = period[place]
			:: else
			fi
		}
	:: mine && !isDone && place == 0 && current < RUNS -> /* Plan, storeChanges, release */
		if
		:: w = 1
		:: w = 2
		fi;
		current++;
#ifdef ORDER_FIRST
		atomic { startRun[w] = current; startFence[w] = myFence; startPeriod[w] = period[w]; grantPeriod = period[w]; start(w) };
#endif
		commit(w, current, false);
		if
		:: mine -> place = w;
			if
			:: atomic { startRun[w] = current; startFence[w] = myFence; startPeriod[w] = period[w]; grantPeriod = period[w];
				start(w); answered = true }
			:: atomic { startRun[w] = current; startFence[w] = myFence; startPeriod[w] = period[w]; grantPeriod = period[w];
				answered = false }
			fi
		:: else
		fi
	:: mine && place != 0 && !answered -> /* no response to the start: send stop orders until the worker responds */
#ifndef NO_STOP
		atomic {
			if
			:: fence[place] > myFence -> mine = false
			:: else ->
				fence[place] = myFence;
				if
				:: highest[place] < current -> highest[place] = current
				:: else
				fi;
				if
				:: running[place] != 0 && running[place] <= current -> running[place] = 0
				:: else
				fi
			fi
		};
#endif
		answered = true
	:: mine && place != 0 && answered -> /* HandleReport: a report under this owner's fence */
		atomic {
			if
			:: fence[place] > myFence -> mine = false; seen = 0
			:: else ->
				fence[place] = myFence;
				if
				:: ended[place] == current -> seen = 2
				:: ended[place] != current && running[place] == current -> seen = 1; grantPeriod = period[place]
				:: else -> seen = 3
				fi
			fi
		};
		if
		:: mine && seen == 2 ->
#ifdef ACK_FIRST
			atomic { acked = acked || !lapsed[place]; ended[place] = 0 };
#endif
			commit(0, current, true);
			if
			:: mine -> isDone = true;
				atomic {
					if
					:: fence[place] == myFence && ended[place] == current -> acked = acked || !lapsed[place]; ended[place] = 0
					:: else
					fi
				};
				place = 0
			:: else
			fi
		:: mine && seen == 3 -> place = 0
		:: else
		fi
	:: atomic { mine && inherited && !owns[1 - me] -> /* OutageGrace has passed: the term of the earlier owner has ended */
			inherited = false;
			if
			:: place != 0 -> grantPeriod = period[place]
			:: else
			fi
		}
	:: mine && place != 0 && LAPSED -> place = 0 /* Tick: the worker did not respond before its lease expired */
	:: mine -> mine = false /* the node stops or is killed */
	:: terms >= TERMS && !mine -> break
	od
}

proctype Network() {
	byte w; bool ok;
	do
	:: atomic { lateTxn -> lateTxn = false; txn(lateFence, lateNumber, latePlace, lateRun, lateDone, ok) }
	:: atomic { startRun[1] != 0 -> start(1) }
	:: atomic { startRun[2] != 0 -> start(2) }
	:: atomic { running[1] != 0 -> highest[1] = running[1]; ended[1] = running[1]; running[1] = 0; lapsed[1] = false }
	:: atomic { running[2] != 0 -> highest[2] = running[2]; ended[2] = running[2]; running[2] = 0; lapsed[2] = false }
	:: atomic { lapses < LAPSES -> lapses++;
		if
		:: w = 1
		:: w = 2
		fi;
		period[w]++; lapsed[w] = true;
		if
		:: running[w] != 0 -> highest[w] = running[w]; running[w] = 0
		:: else
		fi }
	:: timeout -> break
	od
}

init { atomic { run Owner(0); run Owner(1); run Network() } }
