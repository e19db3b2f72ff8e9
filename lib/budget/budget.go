// Package budget decides how much memory and how many connections the clients of a
// listener may hold, and which connections give way when they would hold more. It has no
// network and no clock.
//
// It answers crowds of clients that keep no limits: many connections that each hold a
// request that does not end. The connections that hold the most for the longest make room
// for others, so that an ordinary request is served meanwhile.
package budget

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/unit"
)

// Holder identifies a connection.
type Holder uint64

// Client is the address of a client, which may have several connections.
type Client string

// Config configures a Budget.
type Config struct {
	// Memory bounds the bytes that all holders hold together.
	Memory unit.Bytes
	// Connections bounds the number of holders.
	Connections int
}

// Budget counts what the clients of one listener hold.
type Budget struct {
	config      Config
	last        atomic.Uint64
	held        atomic.Int64
	connections atomic.Int64
	holders     *shard.Map[Holder, holding]
	// choice serializes the choice of the holders that give way, so that two of them
	// don't make the same room.
	choice sync.Mutex
}

// holding is what one connection holds.
type holding struct {
	client     Client
	bytes      unit.Bytes
	progressAt time.Time // when the client last sent something, or last took some of a reply
	phase      Phase
	evicted    bool // it has been chosen to give way
}

// Phase is what a connection waits for.
type Phase int

// The phases of a connection.
const (
	// Reading means that the client has to send a request.
	Reading Phase = iota
	// Processing means that the request has been read completely. The connection gives way
	// to no other.
	Processing
	// Replying means that the client has to take the reply.
	Replying
)

// minReplyTime is the time that a client always has to take some of a reply. An ordinary
// client takes far less.
const minReplyTime = 100 * time.Millisecond

// mayGiveWay reports whether the connection may be closed for others.
func (h holding) mayGiveWay(now time.Time) bool {
	switch h.phase {
	case Processing:
		return false
	case Replying:
		return now.Sub(h.progressAt) >= minReplyTime
	}
	return true
}

// New returns a Budget without holders.
func New(c Config) *Budget {
	return &Budget{config: c, holders: shard.NewMap[Holder, holding]()}
}

// Held returns the bytes that all holders hold.
func (b *Budget) Held() unit.Bytes { return unit.Bytes(b.held.Load()) }

// Connections returns the number of holders.
func (b *Budget) Connections() int { return int(b.connections.Load()) }

// Open adds the connection of a client. It returns the connections that have to be closed
// for it. If none can be, it is the new one.
func (b *Budget) Open(now time.Time, c Client) (Holder, []Holder) {
	id := Holder(b.last.Add(1))
	b.holders.Set(id, holding{client: c, progressAt: now})
	if int(b.connections.Add(1)) <= b.config.Connections {
		return id, nil
	}
	b.choice.Lock()
	defer b.choice.Unlock()
	var evicted []Holder
	for b.Connections() > b.config.Connections {
		worst, ok := b.choose(now, byConnections, id)
		if !ok {
			worst = id
		}
		b.evict(worst)
		evicted = append(evicted, worst)
	}
	return id, evicted
}

// Close removes a connection.
func (b *Budget) Close(id Holder) {
	b.holders.Update(id, func(h holding, ok bool) (holding, bool) {
		if ok && !h.evicted {
			b.held.Add(-int64(h.bytes))
			b.connections.Add(-1)
		}
		return h, false
	})
}

// Progress records that the client of a connection has sent something, or has taken some of
// a reply.
func (b *Budget) Progress(now time.Time, id Holder) {
	b.holders.Update(id, func(h holding, ok bool) (holding, bool) {
		h.progressAt = now
		return h, ok
	})
}

// SetPhase records that a connection enters a phase.
func (b *Budget) SetPhase(now time.Time, id Holder, p Phase) {
	b.holders.Update(id, func(h holding, ok bool) (holding, bool) {
		h.phase, h.progressAt = p, now
		return h, ok
	})
}

// Hold sets the bytes that a connection holds. It returns the connections that have to be
// closed for it, or false if the connection may not hold that much; it then holds what it
// held before.
func (b *Budget) Hold(now time.Time, id Holder, bytes unit.Bytes) ([]Holder, bool) {
	grown := b.set(now, id, bytes)
	if grown <= 0 || b.Held() <= b.config.Memory {
		return nil, true
	}
	b.choice.Lock()
	defer b.choice.Unlock()
	var evicted []Holder
	for b.Held() > b.config.Memory {
		worst, ok := b.choose(now, byBytes, 0)
		if !ok || worst == id {
			b.set(now, id, bytes-grown)
			return evicted, false
		}
		b.evict(worst)
		evicted = append(evicted, worst)
	}
	return evicted, true
}

// set sets the bytes of a holder and returns by how much they have grown.
func (b *Budget) set(now time.Time, id Holder, bytes unit.Bytes) (grown unit.Bytes) {
	b.holders.Update(id, func(h holding, ok bool) (holding, bool) {
		if ok && !h.evicted {
			grown = bytes - h.bytes
			h.bytes = bytes
			if grown > 0 {
				h.progressAt = now
			}
		}
		return h, ok
	})
	b.held.Add(int64(grown))
	return grown
}

// evict marks a holder as one that gives way. What it holds no longer counts, as its
// connection is closed at once.
func (b *Budget) evict(id Holder) {
	b.holders.Update(id, func(h holding, ok bool) (holding, bool) {
		if ok && !h.evicted {
			b.held.Add(-int64(h.bytes))
			b.connections.Add(-1)
			h.evicted = true
		}
		return h, ok
	})
}

// usage is what the connections of one client hold together.
type usage struct {
	bytes       unit.Bytes
	connections int
}

// criterion compares what two clients hold, and how long two connections have gone without
// progress for what they hold.
type criterion struct {
	clients func(a, b usage) int
	weight  func(h holding, silence time.Duration) float64
}

// minSilence is added to the time without progress, so that of connections that have
// just sent something the largest gives way.
const minSilence = 100 * time.Millisecond

var (
	byBytes = criterion{
		clients: func(a, b usage) int { return cmp.Compare(a.bytes, b.bytes) },
		weight:  func(h holding, silence time.Duration) float64 { return float64(h.bytes) * silence.Seconds() },
	}
	byConnections = criterion{
		clients: func(a, b usage) int { return cmp.Compare(a.connections, b.connections) },
		weight:  func(_ holding, silence time.Duration) float64 { return silence.Seconds() },
	}
)

// choose returns the connection that gives way first: of the client that holds the most,
// the one with the most weight. It leaves out one connection, and those that may not give
// way now. It returns false if none is left.
func (b *Budget) choose(now time.Time, c criterion, except Holder) (Holder, bool) {
	clients := make(map[Client]usage)
	b.holders.Range(func(_ Holder, h holding) bool {
		if !h.evicted {
			u := clients[h.client]
			clients[h.client] = usage{u.bytes + h.bytes, u.connections + 1}
		}
		return true
	})
	var best Holder
	var bestHolding holding
	found := false
	b.holders.Range(func(id Holder, h holding) bool {
		if id == except || h.evicted || !h.mayGiveWay(now) {
			return true
		}
		order := c.clients(clients[h.client], clients[bestHolding.client])
		if !found || order > 0 || order == 0 && c.weight(h, now.Sub(h.progressAt)+minSilence) >
			c.weight(bestHolding, now.Sub(bestHolding.progressAt)+minSilence) {
			best, bestHolding, found = id, h, true
		}
		return true
	})
	return best, found
}
