/*
 * The change of owners on the cooperative platform: the owner key under a
 * lease, owners that hand over, and nodes that free the place of an owner that
 * has resigned or was started anew.
 *
 * A node serves while its term is valid. Its lease can't end before: a renewal
 * counts from the time at which it was sent, and the node's clock has a margin.
 * The transaction that wins can take effect long before its answer arrives, or
 * without one. Messages between nodes can be late. A process can end at any
 * moment and start again.
 *
 * The model checks that no two nodes serve at the same time.
 *
 * Mutants:
 *   DEPOSE_DOUBT   an owner that only doubts has its place freed
 *   IDLE_EARLY     a node says that it is idle while its campaign is on its way
 *   ANY_FENCE      a late message frees the place of a later owner
 *   NO_MARGIN      a lease ends while its owner still counts its term as valid
 *   ASK_FIRST      a node is asked whether it is idle before the key is read
 */
#define FENCES 3

#ifdef NO_MARGIN
#define MAY_END true
#else
#define MAY_END (!(term[keyNode] == key && serves[keyNode]))
#endif

/* The store: the fence and the node of the owner key, and the highest fence. */
byte key = 0; byte keyNode; byte fence = 0;

/* The nodes. "sent" is the fence of a transaction whose answer has not come. */
byte term[2]; byte sent[2]; bool busy[2]; bool serves[2];

/* A lease that has run out, by its fence. A node does not notice when another
 * one ends its lease. */
bool ended[4];

/* A message that asks to free the place of an owner, or zero. */
byte message = 0;

/* lib/election Depose: the lease of a fence is ended, and with it the key. */
inline depose(f) {
#ifdef ANY_FENCE
	if
	:: key != 0 -> key = 0
	:: else
	fi
#else
	if
	:: f != 0 && key == f -> key = 0
	:: else
	fi
#endif
}

proctype Node(byte me) {
	byte seen; bool idle;
	do
	:: atomic { key == 0 && term[me] == 0 && sent[me] == 0 && fence < FENCES -> /* win: the transaction takes effect */
#ifndef IDLE_EARLY
			busy[me] = true;
#endif
			fence++; key = fence; keyNode = me; sent[me] = fence
		}
	:: atomic { sent[me] != 0 -> /* its answer arrives, and the term begins */
			busy[me] = true; term[me] = sent[me]; sent[me] = 0;
			if
			:: !ended[term[me]] -> assert(!serves[1 - me]); serves[me] = true
			:: else /* the lease has ended meanwhile: the term is not valid */
			fi
		}
	:: atomic { sent[me] != 0 -> sent[me] = 0; busy[me] = false } /* its answer is lost */
	:: atomic { serves[me] -> serves[me] = false } /* the last renewal is too old */
	:: atomic { term[me] != 0 && message == 0 -> /* Resign, then Depose by another node */
			message = term[me];
#ifndef DEPOSE_DOUBT
			serves[me] = false; term[me] = 0; busy[me] = false
#endif
		}
	:: atomic { term[me] != 0 -> serves[me] = false; term[me] = 0; busy[me] = false } /* the term ends */
	:: atomic { serves[me] = false; term[me] = 0; sent[me] = 0; busy[me] = false } /* the process is started anew */
	:: atomic { message != 0 -> depose(message); message = 0 }
	:: atomic { key != 0 && keyNode == me && !busy[me] -> depose(key) } /* isOwn: the key of an earlier life */
	/* depose in lib/relay: the key is read, its node is asked, and its lease ended. */
#ifdef ASK_FIRST
	:: atomic { idle = !busy[1 - me] };
		atomic { seen = (keyNode == 1 - me -> key : 0) };
#else
	:: atomic { seen = (keyNode == 1 - me -> key : 0) };
		atomic { idle = !busy[1 - me] };
#endif
		atomic {
			if
			:: idle -> depose(seen)
			:: else
			fi
		}
	:: fence == FENCES && key == 0 -> break
	od
}

proctype Lease() {
	do
	:: atomic { key != 0 && MAY_END -> ended[key] = true; key = 0 }
	:: fence == FENCES && key == 0 -> break
	od
}

init { atomic { run Node(0); run Node(1); run Lease() } }
