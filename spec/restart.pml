/*
 * One task on the cooperative platform, and a worker that restarts under its id.
 *
 * A new incarnation of the worker has no runs, no fence, no highest ended run and
 * no list of ends, and its numbers of ends and its clock start anew. A call names
 * the worker's id only, so any incarnation can carry it out, at once or late. The
 * owner learns of a restart by an entry of the platform's list or by a report, in
 * any order and at any time. One owner serves during the whole model; run.pml
 * changes owners. The task can also run on a second worker, which never fails.
 *
 * Parts of the model, the code that they stand for, and the rules of the fix there:
 *   learn          link.update, link.pollOnce: the link takes a new fence, and no
 *                  report counts that was requested under an earlier one
 *   send, answer   link.deliver, without its retries (see README.md): when a start
 *                  has no answer, the link takes a new fence
 *   stop           Planner.stopGroup, link.deliver
 *   poll, resp     link.pollOnce, link.pollFailed: the first poll after one without
 *                  an answer extends no lease and acknowledges nothing; a poll
 *                  acknowledges only ends that no answered poll has acknowledged
 *   report         Planner.HandleReport, Planner.handleLateEnd, link.confirmReport:
 *                  a run of an earlier incarnation is adopted if the report lists
 *                  it, and ends otherwise
 *   concludeStart  Planner.HandleOrderResult
 *   plan, tick     Planner.Plan; Planner.Tick: a run is given up when the lease and
 *                  the longest delay of a call have passed
 *   execStart, execPoll, crash  Worker.start, Worker.poll and Fleet.NewWorker in
 *                  standin/cooperative
 *
 * Properties: two runs never run at the same time; a task whose success is stored
 * never starts again; a worker forgets a success only after it is stored.
 *
 * Assumptions on the platform, each dropped by a mutant:
 *   - A start that a worker would reject when it crashes is not carried out by its
 *     next incarnation (RESTART_ANY).
 *   - A start that another incarnation carries out is carried out within the lease
 *     and the longest delay of a call (LEASE_ONLY drops the delay from "tick").
 *     Within one incarnation a start can be carried out at any time.
 *   - An acknowledgement that is sent before a restart is not carried out after it,
 *     and a busy worker does not restart between two polls (ACK_ANY). The third
 *     property needs this; the others do not.
 *
 * Variants:
 *   TWO_RESTARTS   the worker restarts twice
 *   WAIT_DELAY     without the first assumption, but with a rule: a run that a report
 *                  does not list ends only if, when the report was requested, none of
 *                  the run's starts could still be carried out
 *
 * Mutants:
 *   BEFORE_FIX     none of the rules of the fix
 *   NO_NEW_FENCE   the link keeps its fence when it learns of a restart
 *   KEEP_FENCE     the link keeps its fence when a start has no answer
 *   NO_ADOPT       a run that the first report of an incarnation lists counts as lost
 *   LIST_ENDS      the list entry ends the runs of the earlier incarnation
 *   TRUST_FIRST    the report that reveals a restart counts
 *   OLD_REPORT     a report counts that was requested before the restart was known
 *   ACK_AGAIN      the first poll after one without an answer acknowledges ends
 *   ACK_REPEATED   a poll acknowledges ends that are acknowledged already
 *   LEASE_ONLY     a run is given up when the lease has expired, without the delay
 *   RETRY          a start without an answer is sent again
 *   RESTART_ANY    a worker that restarts carries out starts that it would reject
 *   ACK_ANY        an acknowledgement is carried out after a restart
 */
#ifdef WAIT_DELAY
#define RESTART_ANY
#endif
#ifdef BEFORE_FIX
#define NO_NEW_FENCE
#define KEEP_FENCE
#define NO_ADOPT
#define LIST_ENDS
#define TRUST_FIRST
#define OLD_REPORT
#define ACK_AGAIN
#define ACK_REPEATED
#define RETRY
#endif
#ifndef RUNS
#define RUNS 2
#endif
#ifdef TWO_RESTARTS
#define RESTARTS 2
#else
#define RESTARTS 1
#endif
#define LAPSES 1
#ifdef RETRY
#define ATTEMPTS 2
#else
#define ATTEMPTS 1
#endif

/* The worker. It has ended one run of another task before, which is acknowledged. */
byte inc = 0; byte fence = 0; byte running = 0; byte highest = 0;
byte endNo = 1; byte endRun = 0; bool endDone = false; /* the last end that is not acknowledged */
bool leased = false;
bool foreign = false; /* the lease is of a call for another incarnation, so it may last longer than the owner computes */

byte running2 = 0; /* the second worker */

/* Start calls that the worker can carry out. A call is valid until the lease that it grants would have expired. */
byte startRun[2]; byte startFence[2]; byte startInc[2]; bool startValid[2];
byte awaited = 0; /* the call, from 1, that the link waits for */
byte answer = 0;  /* its answer: 1 accepted, 2 rejected */

/* Polls that the worker can carry out: 0 is the one that the link waits for, 1 an earlier one without an answer. */
bool pollOut[2]; byte pollFence[2]; byte pollAck[2]; bool pollLease[2]; byte pollInc[2];

/* The answer to a poll on its way. */
bool resp = false; byte respInc = 0; byte respRun = 0; byte respEnd = 0; bool respDone = false; byte respNo = 0;

/* The link. */
byte known = 0;           /* the incarnation */
byte linkFence = 1; byte needFence = 1;
bool clock = true;        /* a report of this incarnation has counted */
bool answered = true;     /* so has the last poll */
byte stored = 1; byte ackedEnds = 1;
bool polling = false; byte askedFence = 0; byte askedAck = 0; byte askedRun = 0; byte settled = 0;
byte sending = 0;         /* 1: a start is to be sent, 2: it is sent */
byte sendRun = 0; byte sendInc = 0; byte attempts = 0;
bool granted = false;     /* a lease may not have expired, as the owner computes it */

/* The planner. */
byte place = 0; byte current = 0; byte placeInc = 0; bool confirmed = false; bool stopping = false; bool isDone = false;

byte lapses = 0; byte restarts = 0; byte res = 0;
bool quick = false;       /* a busy worker has restarted between two polls */

#ifdef WAIT_DELAY
#define SETTLED (sending == 0 && startRun[0] != current && startRun[1] != current)
#define SETTLED_BEFORE (settled == current)
#else
#define SETTLED true
#define SETTLED_BEFORE true
#endif
#ifdef LEASE_ONLY
#define DELAY_PASSED true
#else
#define DELAY_PASSED (!foreign)
#endif
#ifdef RESTART_ANY
#define SURVIVES(i) startValid[i]
#else
#define SURVIVES(i) (startValid[i] && startFence[i] >= fence && startRun[i] > highest)
#endif
#ifdef ACK_AGAIN
#define MAY_ACK true
#else
#define MAY_ACK answered
#endif
#ifdef ACK_REPEATED
#define UNACKED true
#else
#define UNACKED (stored > ackedEnds)
#endif
#ifdef OLD_REPORT
#define COUNTS true
#else
#define COUNTS (askedFence >= needFence)
#endif

inline learn(i) {
	known = i;
#ifndef NO_NEW_FENCE
	linkFence++;
	needFence = linkFence;
#endif
	stored = 0; ackedEnds = 0; answered = false; clock = false
}

inline dropStart(i) { startRun[i] = 0; startFence[i] = 0; startInc[i] = 0; startValid[i] = false }
inline dropPoll(i) { pollOut[i] = false; pollFence[i] = 0; pollAck[i] = 0; pollLease[i] = false; pollInc[i] = 0 }
inline dropResp() { resp = false; respInc = 0; respRun = 0; respEnd = 0; respDone = false; respNo = 0;
	polling = false; askedFence = 0; askedAck = 0; askedRun = 0; settled = 0 }

inline execStart(i) {
	res = 2;
	if
	:: startFence[i] >= fence ->
		fence = startFence[i];
		if
		:: startInc[i] != inc -> leased = true; foreign = true
		:: startInc[i] == inc && startValid[i] -> leased = true
		:: else
		fi;
		if
		:: running == startRun[i] -> res = 1
		:: running != startRun[i] && leased && startRun[i] > highest ->
			assert(running == 0 && running2 == 0);
			assert(!isDone);
			running = startRun[i]; res = 1
		:: else
		fi
	:: else
	fi;
	if
	:: awaited == i + 1 -> answer = res; awaited = 0
	:: else
	fi;
	res = 0;
	dropStart(i)
}

inline copyState() { respRun = running; respEnd = endRun; respDone = endDone; respNo = (endRun != 0 -> endNo : 0) }

inline execPoll(i) {
	if
	:: pollFence[i] >= fence ->
		fence = pollFence[i];
		if
		:: pollLease[i] && pollInc[i] != inc -> leased = true; foreign = true
		:: pollLease[i] && pollInc[i] == inc -> leased = true
		:: else
		fi;
		if
		:: endRun != 0 && endNo <= pollAck[i] ->
			assert(quick || !(endDone && place == 1 && current == endRun)); /* the success was not stored */
			endRun = 0; endDone = false
		:: else
		fi;
		if
		:: i == 0 -> resp = true; respInc = inc; copyState()
		:: else
		fi
	:: else
	fi;
	dropPoll(i)
}

inline endRecord() { place = 0; confirmed = false; stopping = false; placeInc = 0 }

inline report() {
	clock = true; answered = true;
	if
	:: askedAck > ackedEnds -> ackedEnds = askedAck
	:: else
	fi;
	if
	:: place == 1 && respEnd == current && respDone -> isDone = true; endRecord(); stored = respNo
	:: place == 1 && respEnd == current && !respDone && SETTLED_BEFORE -> endRecord(); stored = respNo
	:: place == 0 && respEnd == current && respEnd != 0 && respDone -> isDone = true; stored = respNo
	:: place == 1 && respEnd != current && respRun == current && placeInc != respInc ->
#ifdef NO_ADOPT
		endRecord()
#else
		placeInc = respInc; stopping = false; confirmed = true
#endif
	:: place == 1 && respEnd != current && respRun != current && (placeInc != respInc || askedRun == current) && SETTLED_BEFORE -> endRecord()
	:: else ->
		if
		:: respEnd != 0 && !(place == 1 && respEnd == current) -> stored = respNo
		:: else
		fi
	fi
}

inline concludeStart(r) {
	if
	:: place == 1 && current == sendRun && placeInc == sendInc ->
		if
		:: r == 1 -> confirmed = confirmed || !stopping
		:: r == 2 -> endRecord()
		:: r == 3 -> stopping = true
		fi
	:: else
	fi;
	sending = 0; sendRun = 0; sendInc = 0; attempts = 0
}

inline send(i) {
	startRun[i] = sendRun; startFence[i] = linkFence; startInc[i] = known; startValid[i] = true;
	granted = true; awaited = i + 1; sending = 2
}

inline unanswered() {
	answer = 0; awaited = 0;
#ifndef KEEP_FENCE
	linkFence++
#endif
}

inline expire() {
	leased = false; foreign = false;
	if
	:: running != 0 -> highest = running; running = 0
	:: else
	fi
}

inline crashStart(i) {
	if
	:: startRun[i] != 0 && !SURVIVES(i) -> dropStart(i)
	:: else
	fi
}

inline lapseStart(i) {
	if
	:: startInc[i] != inc -> dropStart(i)
	:: else -> startValid[i] = false
	fi
}

#define SENDABLE (sendInc == known && clock)
#define STOPS (place == 1 && stopping && !confirmed && sending == 0 && known == placeInc && clock && linkFence >= fence)

inline stop() {
	fence = linkFence;
	if
	:: highest < current -> highest = current
	:: else
	fi;
	if
	:: running == current -> running = 0; endNo++; endRun = current; endDone = false
	:: else
	fi
}

active proctype System() {
	do
	/* plan */
	:: d_step { !isDone && place == 0 && current < RUNS && clock && sending == 0 ->
		place = 1; current++; placeInc = known; sending = 1; sendRun = current; sendInc = known }
	:: d_step { !isDone && place == 0 && current < RUNS -> place = 2; current++; assert(running == 0); running2 = current }
	/* send, answer */
	:: d_step { sending == 1 && !SENDABLE && attempts == 0 -> concludeStart(2) }
	:: d_step { sending == 1 && !SENDABLE && attempts != 0 -> concludeStart(3) }
	:: d_step { sending == 1 && SENDABLE && startRun[0] == 0 -> send(0) }
	:: d_step { sending == 1 && SENDABLE && startRun[0] != 0 && startRun[1] == 0 -> send(1) }
#ifdef RETRY
	:: d_step { sending == 2 && attempts + 1 < ATTEMPTS -> unanswered(); attempts++; sending = 1 }
#endif
	:: d_step { sending == 2 && answer == 1 -> answer = 0; concludeStart(1) }
	:: d_step { sending == 2 && answer == 2 && attempts == 0 -> answer = 0; concludeStart(2) }
	:: d_step { sending == 2 && answer == 2 && attempts != 0 -> answer = 0; concludeStart(3) }
	:: d_step { sending == 2 -> unanswered(); concludeStart(3) }
	/* stop */
	:: d_step { STOPS -> stop(); confirmed = true }
	:: d_step { STOPS -> stop() }
	/* poll, resp */
	:: d_step { !polling ->
		polling = true; pollOut[0] = true; pollFence[0] = linkFence; askedFence = linkFence; pollInc[0] = known; pollLease[0] = answered;
		granted = granted || answered;
		pollAck[0] = (MAY_ACK && UNACKED -> stored : 0); askedAck = pollAck[0];
#ifdef WAIT_DELAY
		settled = (SETTLED -> current : 0);
#endif
		askedRun = (place == 1 && confirmed -> current : 0) }
	:: d_step { pollOut[0] && !pollOut[1] -> /* no answer; the worker carries the poll out late */
		pollOut[1] = true; pollFence[1] = pollFence[0]; pollAck[1] = pollAck[0]; pollLease[1] = pollLease[0]; pollInc[1] = pollInc[0];
		dropPoll(0); dropResp(); answered = false }
	:: d_step { polling -> dropPoll(0); dropResp(); answered = false }
	:: d_step { resp ->
		if
		:: respInc > known ->
			learn(respInc);
#ifdef TRUST_FIRST
			report()
#endif
		:: respInc == known && COUNTS -> report()
		:: else
		fi;
		dropResp() }
	/* learn */
	:: d_step { known < inc ->
		learn(known + 1);
#ifdef LIST_ENDS
		if
		:: place == 1 -> endRecord()
		:: else
		fi
#endif
	}
	/* tick */
	:: d_step { place == 1 && !granted && sending == 0 && DELAY_PASSED && SETTLED -> endRecord() }
	/* the network */
	:: d_step { startRun[0] != 0 -> execStart(0) }
	:: d_step { startRun[0] != 0 && awaited != 1 -> dropStart(0) }
	:: d_step { startRun[1] != 0 -> execStart(1) }
	:: d_step { startRun[1] != 0 && awaited != 2 -> dropStart(1) }
	:: d_step { pollOut[0] -> execPoll(0) }
	:: d_step { resp && respInc == inc -> copyState() } /* the worker has held the poll open */
	:: d_step { pollOut[1] -> execPoll(1) }
	:: d_step { pollOut[1] -> dropPoll(1) }
	/* the worker */
	:: d_step { running != 0 -> highest = running; endNo++; endRun = running; running = 0; endDone = true }
	:: d_step { running != 0 -> highest = running; endNo++; endRun = running; running = 0; endDone = false }
	:: d_step { restarts < RESTARTS -> /* crash */
		restarts++;
		crashStart(0);
		crashStart(1);
#ifndef ACK_ANY
		pollAck[0] = 0; pollAck[1] = 0;
		quick = quick || resp || answered && (place == 1 || sending != 0 || stored > ackedEnds);
#endif
		inc++; fence = 0; running = 0; highest = 0; endNo = 0; endRun = 0; endDone = false; leased = false; foreign = false }
	:: d_step { granted && sending != 2 && !polling && lapses < LAPSES -> /* the lease expires */
		lapses++; granted = false;
		lapseStart(0);
		lapseStart(1);
		if
		:: pollInc[1] != inc -> dropPoll(1)
		:: else -> pollLease[1] = false
		fi;
		if
		:: !foreign -> expire()
		:: else
		fi }
	:: d_step { foreign && !granted -> expire() }
	/* the second worker */
	:: d_step { running2 != 0 -> running2 = 0; place = 0; isDone = true }
	:: d_step { running2 != 0 -> running2 = 0; place = 0 }
	od
}
