/*
 * Acceptance and distribution of configuration.
 *
 * An accepted change is the entry of the configuration journal at its revision
 * (journal.pml). Two operators append concurrently. Two nodes apply entries that
 * they receive from their watch, from a peer or in a stale response of either, or
 * that they read from the journal at a restart. A node that starts while the store
 * is down uses the newest configuration of a peer, or does not serve.
 *
 * Mutants:
 *   APPLY_ANY     a node applies every entry that it receives, also an older one
 *   APPLY_GAP     a node applies a later entry and skips the entries in between
 *   NO_CONDITION  an append overwrites the entry at its revision
 *   SERVE_EMPTY   a node that starts with neither store nor peer serves revision 0
 */
#define NODES 2
#define REVS 3
#define RESTARTS 1

byte log[REVS + 1];       /* the change at each revision, 0 for none */
byte last = 1;            /* newest accepted revision; the first exists from the start */
bool storeUp = true;
byte outages = 0;
byte restarts = 0;

byte inForce[NODES];      /* revision in force, meaningful while serving */
byte content[NODES];      /* change that the node applied as that revision */
bool serving[NODES];
byte floor[NODES];        /* highest revision in force on the node since it started */
byte accepted[REVS + 1];  /* change that was reported to an operator as accepted at a revision */

init {
	atomic { log[1] = 1; accepted[1] = 1;
		run Operator(); run Operator(); run Node(0); run Node(1); run Outage() }
}

/* An operator. Each change is based on the last revision that the operator read. */
proctype Operator() {
	byte base, change, n = 0;
end:
	do
	:: n < 2 ->
		n++;
		change = 2 + 2 * n + (_pid % 2); /* each change is unique */
		base = last; /* any delay between this and the append */
		if
		:: atomic { storeUp && base < REVS ->
#ifdef NO_CONDITION
			if
			:: true ->
#else
			if
			:: log[base + 1] == 0 ->
#endif
				log[base + 1] = change;
				last = (base + 1 > last -> base + 1 : last);
				/* an accepted change is never replaced */
				assert(accepted[base + 1] == 0);
				accepted[base + 1] = change
			:: else -> skip /* rejected as a conflict */
			fi }
		:: !storeUp || base >= REVS
		fi
	:: else -> break
	od
}

/* A node applies an entry only if it is the next revision. */
inline apply(me, rev, change) {
	if
#ifdef APPLY_ANY
	:: rev != 0 ->
#else
#ifdef APPLY_GAP
	:: rev > inForce[me] ->
#else
	:: rev == inForce[me] + 1 ->
#endif
#endif
		/* every earlier change has been applied */
		assert(rev <= inForce[me] + 1);
		inForce[me] = rev; content[me] = change;
		/* the revision in force on a node never decreases */
		assert(inForce[me] >= floor[me]);
		floor[me] = inForce[me];
		/* and the content is the change that was accepted at this revision */
		assert(accepted[rev] == change)
	:: else
	fi
}

proctype Node(byte me) {
	byte peer, rev, change;
	peer = 1 - me;
	/* start: read the journal */
	atomic { inForce[me] = last; content[me] = log[last]; floor[me] = last; serving[me] = true };
end:
	do
	/* an entry is received from the watch or a peer and applied at any later
	   time, when the response may be stale */
	:: atomic { serving[me] && storeUp && last > 0 ->
		if
		:: rev = inForce[me] + 1
		:: rev = last
		:: rev = 1
		fi;
		if
		:: rev <= last -> change = log[rev]
		:: else -> rev = 0
		fi }
	:: atomic { serving[me] && serving[peer] && inForce[peer] > 0 ->
		if
		:: rev = inForce[peer]; change = content[peer]
		:: rev = 1; change = log[1]
		fi }
	:: atomic { serving[me] && rev != 0 -> apply(me, rev, change); rev = 0 }

	/* restart: the node loses its state */
	:: atomic { restarts < RESTARTS && serving[me] -> restarts++; serving[me] = false; rev = 0 }
	:: atomic { !serving[me] && storeUp ->
		inForce[me] = last; content[me] = log[last]; floor[me] = last; serving[me] = true }
	:: atomic { !serving[me] && !storeUp && serving[peer] ->
		inForce[me] = inForce[peer]; content[me] = content[peer]; floor[me] = inForce[peer]; serving[me] = true }
#ifdef SERVE_EMPTY
	:: atomic { !serving[me] && !storeUp && !serving[peer] ->
		inForce[me] = 0; content[me] = 0; floor[me] = 0; serving[me] = true }
#endif
	od unless { serving[me] && inForce[me] == 0 };
	assert(false) /* a node serves without any accepted configuration */
}

proctype Outage() {
end:
	do
	:: atomic { storeUp && outages < 1 -> outages++; storeUp = false }
	:: atomic { !storeUp -> storeUp = true }
	od
}
