/*
 * The election of the owner on the cooperative platform: the owner key under a
 * lease, owners that hand over, and nodes that revoke the ownership of a node that
 * has resigned or restarted.
 *
 * A node serves while its term is valid. Its lease can't expire earlier: a renewal
 * counts from the time at which it was sent, and the term ends a margin before the
 * lease, which allows for clock drift. The winning transaction can take effect
 * long before its response arrives, and the response can be lost. Messages between
 * nodes can be late. A process can end at any time and restart.
 *
 * The model checks that no two nodes serve at the same time.
 *
 * Mutants:
 *   DEPOSE_DOUBT   ownership is revoked from an owner that still serves
 *   IDLE_EARLY     a node reports that it is idle while its campaign is in progress
 *   ANY_FENCE      a late message revokes the ownership of a later owner
 *   NO_MARGIN      a lease expires while its owner still considers its term valid
 *   ASK_FIRST      a node is queried whether it is idle before the key is read
 */
#define FENCES 3

#ifdef NO_MARGIN
#define MAY_END true
#else
#define MAY_END (!(term[keyNode] == key && serves[keyNode]))
#endif

/* The store: the fence and the node of the owner key, and the highest fence. */
byte key = 0; byte keyNode; byte fence = 0;

/* The nodes. "sent" is the fence of a transaction whose response is pending. */
byte term[2]; byte sent[2]; bool busy[2]; bool serves[2];

/* Whether the lease has ended, by fence. A node is not notified when another one
 * revokes its lease. */
bool ended[4];

/* The fence in a pending message that requests to revoke an ownership, or zero. */
byte message = 0;

/* RevokeOwner in lib/election: it revokes the lease of a fence, which deletes the key. */
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
	:: atomic { key == 0 && term[me] == 0 && sent[me] == 0 && fence < FENCES -> /* acquire: the transaction takes effect */
#ifndef IDLE_EARLY
			busy[me] = true;
#endif
			fence++; key = fence; keyNode = me; sent[me] = fence
		}
	:: atomic { sent[me] != 0 -> /* the response arrives, and the term begins */
			busy[me] = true; term[me] = sent[me]; sent[me] = 0;
			if
			:: !ended[term[me]] -> assert(!serves[1 - me]); serves[me] = true
			:: else /* the lease has ended in the meantime: the term is not valid */
			fi
		}
	:: atomic { sent[me] != 0 -> sent[me] = 0; busy[me] = false } /* the response is lost */
	:: atomic { serves[me] -> serves[me] = false } /* the last renewal is too old */
	:: atomic { term[me] != 0 && message == 0 -> /* Resign, then RevokeOwner by another node */
			message = term[me];
#ifndef DEPOSE_DOUBT
			serves[me] = false; term[me] = 0; busy[me] = false
#endif
		}
	:: atomic { term[me] != 0 -> serves[me] = false; term[me] = 0; busy[me] = false } /* the term ends */
	:: atomic { serves[me] = false; term[me] = 0; sent[me] = 0; busy[me] = false } /* the process restarts */
	:: atomic { message != 0 -> depose(message); message = 0 }
	:: atomic { key != 0 && keyNode == me && !busy[me] -> depose(key) } /* isOwn: the key of an earlier process of this node */
	/* revokeIdleOwner in lib/relay: read the key, query its node, revoke its lease. */
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
