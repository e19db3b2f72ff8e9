// Package latestart keeps restarted workers from carrying out delayed starts while no node
// owns the scheduler. The owner polls a worker that may still carry out a start without an
// answer, so that a restarted one learns of a higher fence before the start arrives. When
// the owner stops answering, its witnesses poll these workers until another owner serves.
package latestart

import (
	"context"
	"slices"
	"sync"
	"time"

	"bronzewinch.dev/lib/controller"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/witness"

	"k8s.io/klog/v2"
)

const (
	// readTimeout and readPause bound the reads of the records. A node that can't read
	// them is often one that is cut off, and has to leave them to the other witnesses.
	readTimeout = time.Second
	readPause   = time.Second
	// pollWait is how long a worker holds a poll open. A restart ends the poll, and the
	// next one brings the fence to the new incarnation.
	pollWait = time.Second
	// pollTimeoutMargin is added to pollWait to get the timeout of a poll. Workers answer
	// within milliseconds.
	pollTimeoutMargin = 300 * time.Millisecond
	pollPause         = 100 * time.Millisecond
	// pollersPerWorker is the number of witnesses that poll each worker, so that one may
	// be lost together with the owner.
	pollersPerWorker = 2
)

// Records reads what the last owner has stored.
type Records interface {
	ReadWitnesses(ctx context.Context) (witness.Set, error)
	ReadLateStarts(ctx context.Context) ([]task.LateStart, error)
}

// Poller polls workers.
type Poller interface {
	Poll(ctx context.Context, t controller.Target, req controller.PollRequest) (task.Report, error)
}

// Config configures a Guard.
type Config struct {
	// Address is the address of this node among the witnesses.
	Address string
	Records Records
	Poller  Poller
	Timer   timer.Service
}

// Guard polls workers with delayed starts while the owner does not answer.
type Guard struct {
	config Config
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	endOutage context.CancelFunc // nil while an owner answers
}

// New returns a Guard that assumes that an owner answers.
func New(c Config) *Guard {
	g := &Guard{config: c}
	g.ctx, g.stop = context.WithCancel(context.Background())
	return g
}

// OwnerLost records that the owner does not answer.
func (g *Guard) OwnerLost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.endOutage != nil || g.ctx.Err() != nil {
		return
	}
	// The owner has sent its last start before, so none is carried out after this time.
	ctx, cancel := context.WithTimeout(g.ctx, planner.MaxCallDelay)
	g.endOutage = cancel
	g.wg.Go(func() { g.pollWorkers(ctx) })
}

// OwnerServes records that an owner serves calls. It polls the workers itself.
func (g *Guard) OwnerServes() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.endOutage != nil {
		g.endOutage()
		g.endOutage = nil
	}
}

// Close ends all polls.
func (g *Guard) Close() {
	g.mu.Lock()
	g.stop()
	g.mu.Unlock()
	g.wg.Wait()
}

// pollWorkers polls the workers that are assigned to this node until ctx ends.
func (g *Guard) pollWorkers(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, late := range g.readAssigned(ctx) {
		klog.InfoS("worker polled in place of the owner; it may carry out a start late", "event", "lateStart", "worker", late.Worker,
			"incarnation", late.Incarnation, "fence", late.Fence)
		wg.Go(func() { g.poll(ctx, late) })
	}
}

// readAssigned returns the workers that this node has to poll. It repeats reads that fail.
func (g *Guard) readAssigned(ctx context.Context) []task.LateStart {
	for ctx.Err() == nil {
		assigned, err := g.tryReadAssigned(ctx)
		if err == nil {
			return assigned
		}
		if ctx.Err() == nil {
			klog.InfoS("records of unanswered starts not read; other witnesses poll the workers", "event", "lateStart", "cause", err)
		}
		_ = timer.Sleep(ctx, g.config.Timer, readPause)
	}
	return nil
}

func (g *Guard) tryReadAssigned(ctx context.Context) ([]task.LateStart, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	witnesses, err := g.config.Records.ReadWitnesses(ctx)
	if err != nil || !slices.Contains(witnesses, g.config.Address) {
		return nil, err
	}
	late, err := g.config.Records.ReadLateStarts(ctx)
	return assign(late, witnesses, g.config.Address), err
}

// assign returns the workers that the witness at an address has to poll: the worker at
// index i is polled by the witnesses from index i on, in the order of their addresses. All
// witnesses read the same records, so they agree without asking each other.
func assign(late []task.LateStart, witnesses witness.Set, address string) []task.LateStart {
	sorted := slices.Sorted(slices.Values(witnesses))
	own, count := slices.Index(sorted, address), len(sorted)
	var assigned []task.LateStart
	for i, l := range late {
		offset := (own - i%count + count) % count
		if offset < pollersPerWorker && l.Fence > 0 { // a fence that is not known can't be exceeded
			assigned = append(assigned, l)
		}
	}
	return assigned
}

// poll polls a worker until ctx ends. The polls extend no lease and acknowledge no ends. Their
// fence is above that of the start and not above that of any later call of its owner.
func (g *Guard) poll(ctx context.Context, late task.LateStart) {
	target := controller.Target{Worker: late.Worker, Address: late.Address, Incarnation: late.Incarnation, Zone: late.Zone, Rack: late.Rack}
	request := controller.PollRequest{Fence: late.Fence + 1, Wait: pollWait}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, pollWait+pollTimeoutMargin)
		_, _ = g.config.Poller.Poll(callCtx, target, request) // only the fence matters
		cancel()
		_ = timer.Sleep(ctx, g.config.Timer, pollPause) // the worker answers at once while it lists ends
	}
}
