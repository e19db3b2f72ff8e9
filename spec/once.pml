/*
 * At-most-once requests: the intent is journalled before the request is
 * forwarded, and the completion afterwards.
 *
 * A request with one id is submitted up to COPIES times to two entry nodes. Both
 * can act as owner of the request shard, because one of them may be a paused
 * owner. The journal accepts entries of the newest epoch only (journal.pml).
 * Responses to appends and of the backend can be lost.
 *
 * Mutants:
 *   FORWARD_FIRST  the request is forwarded before its intent is journalled
 *   NO_LOOKUP      a new owner does not read the intents of earlier owners
 *   RETRY_INTENT   an intent without a completion is forwarded again
 *   UNKNOWN_AS_NOTRUN  a lost response of the backend is reported as notRun
 */
#define NODES 2
#define COPIES 3
#define MAXEPOCH 3

byte epoch = 0;          /* of the last takeover entry in the journal */
bool intent = false;     /* in the journal */
bool completed = false;       /* in the journal */
byte runs = 0;           /* at the backend */
byte copies = 0;
byte toldNotRun = 0;     /* copies whose caller received notRun for the whole request */
byte toldDone = 0;

/* An append of a paused owner is fenced. After a lost response the entry is read
   back, so the result is certain, or unknown (OPEN) while the store does not
   respond. */
mtype = { OK, FENCED, OPEN };

inline append_intent(mine, res) {
	if
	:: atomic { mine == epoch -> intent = true; res = OK }
	:: atomic { mine == epoch -> intent = true; res = OPEN }
	:: atomic { res = OPEN } /* sent but not written, and the result is unknown */
	:: atomic { mine != epoch -> res = FENCED }
	fi
}

inline forward(res) {
	if
	:: atomic { runs++; assert(runs <= 1); assert(toldNotRun == 0); res = OK }
	:: atomic { runs++; assert(runs <= 1); assert(toldNotRun == 0); res = OPEN }
	:: atomic { res = OPEN }   /* the request is lost before it reaches the backend */
	:: atomic { res = FENCED } /* certainly not run: the connection was refused */
	fi
}

active [NODES] proctype Owner() {
	byte mine = 0;
	bool knowsIntent, knowsDone;
	mtype res;
end:
	do
	:: atomic { epoch < MAXEPOCH -> /* takeover: read the journal, fence the other owner */
		epoch++; mine = epoch;
#ifdef NO_LOOKUP
		knowsIntent = false; knowsDone = false
#else
		knowsIntent = intent; knowsDone = completed
#endif
		}
	:: atomic { mine != 0 && copies < COPIES -> copies++ }; /* a copy of the request arrives: Begin */
		if
		:: knowsDone -> atomic { assert(runs == 1); toldDone++ }
		:: !knowsDone && knowsIntent ->
#ifdef RETRY_INTENT
			goto send;
#else
			skip /* in progress or unknown: not forwarded again */
#endif
		:: !knowsDone && !knowsIntent ->
			knowsIntent = true; /* reserved in memory before the append */
#ifdef FORWARD_FIRST
			forward(res);
			append_intent(mine, res);
			goto next;
#endif
			append_intent(mine, res);
			if
			:: res == OK -> skip
			:: res == FENCED -> knowsIntent = false; goto next /* relayed to the current owner */
			:: res == OPEN -> goto next /* unknown */
			fi;
send:
			forward(res);
			if
			:: res == OK ->
				if
				:: atomic { mine == epoch -> completed = true; knowsDone = true }
				:: true /* the completion is not written: later copies get the outcome unknown */
				fi
			:: res == OPEN ->
#ifdef UNKNOWN_AS_NOTRUN
				atomic { assert(runs == 0); toldNotRun++ }
#else
				skip /* unknown */
#endif
			:: res == FENCED ->
				/* certainly not run; the intent remains, so the id never runs */
				atomic { assert(runs == 0); toldNotRun++ }
			fi
		fi;
next:
		skip
	od
}
