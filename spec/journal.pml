/*
 * The journal: append, takeover, compaction, lost responses and late writes.
 *
 * Two nodes write to one journal. A node takes the journal over, appends entries
 * and may compact the journal at any time. Any step can be delayed for any time,
 * which models a paused owner. The response to a put that takes effect can be
 * lost. A put can also be late: it gets no response and takes effect later or
 * never.
 *
 * TWO_LOSSES checks two lost writes in a shorter journal.
 *
 * Mutants:
 *   NO_FENCING    a takeover appends no entry
 *   NO_READBACK   a lost response counts as a failure
 *   NO_COVER_CHECK  the snapshot is not read after a put that succeeded
 *   NO_CONDITION  a put overwrites an existing entry
 */
#define NODES 2
#define TAKES 3
#ifdef TWO_LOSSES
#define SLOTS 3
#define LOSSES 2
#else
#define SLOTS 4
#define LOSSES 1
#endif

#define FREE 0

/* An entry is identified by its batch number; 0 is an absent key. */
byte log[SLOTS];      /* the current values of the keys in the store */
byte truth[SLOTS];    /* the first entry written with each number: the contents of the journal */
byte epochAt[SLOTS];  /* the epoch of that entry */
bool took[SLOTS];     /* whether that entry is a takeover */
byte covers = 0;      /* entries with numbers below this are in the snapshot */
byte highest = 0;     /* entries with numbers below this have been written */
byte batches = 0;
byte losses = 0;
byte takes = 0;

/* One late write. It can take effect at any time while it is pending. */
byte lateSlot; byte lateBatch = 0; byte lateEpoch; bool lateTakeover;

/* The store executes a put of an entry. */
inline store_put(slot, batch, epoch, takeover, ok) {
	ok = (log[slot] == FREE);
#ifdef NO_CONDITION
	ok = true;
#endif
	if
	:: ok ->
		if
		:: slot >= covers ->
			/* A number that no snapshot covers is written once, in order, and
			   never under an epoch below that of the previous entry. */
			assert(truth[slot] == FREE);
			assert(slot == highest);
			assert(slot == 0 || epochAt[slot - 1] <= epoch);
			assert(slot == 0 || takeover || epochAt[slot - 1] == epoch);
			truth[slot] = batch; epochAt[slot] = epoch; took[slot] = takeover;
			highest++
		:: else /* the number was compacted and its key is absent again; the write has no effect on the contents */
		fi;
		log[slot] = batch
	:: else
	fi
}

/* The verdict of a writer about its entry. */
mtype = { COMMITTED, LOST, UNKNOWN };

/* appendEntry and resolveWrite in lib/journal/append.go. */
inline append_entry(slot, batch, epoch, takeover, verdict) {
	answered = false; tries = 0; verdict = UNKNOWN;
	do
	:: tries < 2 && verdict == UNKNOWN ->
		tries++;
		if
		:: atomic { store_put(slot, batch, epoch, takeover, ok); answered = true }
		:: atomic { losses < LOSSES -> losses++;
			store_put(slot, batch, epoch, takeover, ok); answered = false }
		:: atomic { losses < LOSSES && lateBatch == 0 -> losses++;
			lateSlot = slot; lateBatch = batch; lateEpoch = epoch; lateTakeover = takeover;
			answered = false; ok = false }
		fi;
		/* read the key back unless the response reports success */
		if
		:: answered && ok -> found = batch
#ifdef NO_READBACK
		:: !(answered && ok) -> verdict = LOST; break
#else
		:: !(answered && ok) -> found = log[slot]
#endif
		fi;
		/* read the manifest of the snapshot, which lists the batches that it covers */
		if
#ifndef NO_COVER_CHECK
		:: atomic { slot < covers ->
			if
			:: truth[slot] == batch -> verdict = COMMITTED
			:: else -> verdict = LOST
			fi }
		:: atomic { slot >= covers ->
#else
		:: atomic { true ->
#endif
			if
			:: found == batch -> verdict = COMMITTED
			:: found != FREE && found != batch -> verdict = LOST
			:: found == FREE -> skip /* absent: put again */
			fi }
		fi
	:: else -> break
	od
}

/* A verdict is correct: an entry that was reported as committed is the journal's
   entry of that number, and one that was reported as lost is not and never
   becomes it. */
bool lostBatch[24];

inline check_verdict(slot, batch, verdict) {
	if
	:: verdict == COMMITTED -> assert(truth[slot] == batch)
	:: verdict == LOST -> assert(truth[slot] != batch);
		lostBatch[batch] = true
	:: else
	fi
}

active [NODES] proctype Node() {
	byte next, epoch, batch, verdict, found, tries;
	bool ok, answered;
	byte seenCovers;
take:
	if
	:: atomic { takes < TAKES && highest < SLOTS - 1 ->
		/* read the end of the journal and the epoch of the last entry */
		takes++;
		next = highest;
		if
		:: next > 0 -> epoch = epochAt[next - 1] + 1
		:: else -> epoch = 1
		fi;
		batches++; batch = batches }
	:: true -> goto done
	fi;
#ifdef NO_FENCING
	goto own;
#endif
	append_entry(next, batch, epoch, true, verdict);
	atomic { check_verdict(next, batch, verdict) }
	if
	:: verdict == COMMITTED -> next++
	:: else -> goto take
	fi;
own:
	do
	:: next < SLOTS ->
		atomic { batches++; batch = batches };
		append_entry(next, batch, epoch, false, verdict);
		atomic { check_verdict(next, batch, verdict) }
		if
		:: verdict == COMMITTED -> next++
		:: else -> goto take
		fi
	:: covers < next ->
		/* compact the entries up to this node's last one, then delete them */
		atomic { seenCovers = next; if :: covers < next -> covers = next :: else fi };
		atomic {
			tries = 0;
			do
			:: tries < seenCovers -> log[tries] = FREE; tries++
			:: else -> break
			od
		}
	:: true -> goto take
	:: true -> goto done
	od;
done:
	skip
}

/* The late write takes effect or is lost. */
active proctype Network() {
	bool ok;
end:
	do
	:: atomic { lateBatch != 0 ->
		store_put(lateSlot, lateBatch, lateEpoch, lateTakeover, ok);
		assert(!lostBatch[lateBatch] || truth[lateSlot] != lateBatch);
		lateBatch = 0 }
	:: atomic { lateBatch != 0 -> lateBatch = 0 } /* the write is lost */
	od
}
