package controller

import (
	"context"
	"strconv"
	"time"

	"bronzewinch.dev/lib/dependency"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"

	"k8s.io/klog/v2"
)

const (
	wavePrefix = "bronzewinch/wave/"
	// maxQueuedUpkeepOrders bounds the upkeep orders that wait to be sent.
	maxQueuedUpkeepOrders = 256
	// upkeepTimeout bounds one call about VMs. The platform answers within
	// milliseconds, and within half a second when it is slow.
	upkeepTimeout = 2 * time.Second
	// vmListPeriod is the interval at which the list of VMs is read during a wave.
	vmListPeriod = time.Second
)

func waveKey(n task.WaveNumber) string { return wavePrefix + strconv.FormatUint(uint64(n), 10) }

// VMs calls the platform about the VMs that host workers.
type VMs interface {
	List(ctx context.Context) ([]task.VM, error)
	// BeginUpkeep stops everything that runs on a VM and begins its upkeep. After
	// an error the platform may still execute the call, now or later.
	BeginUpkeep(ctx context.Context, u planner.UpkeepOrder, holder id.Node, fence task.Fence) (planner.UpkeepResult, error)
	// Status returns the record from which the operators read the progress of a
	// wave.
	Status(p task.WaveProgress) (kv.Write, error)
}

// waveEvent is a change of the waves that the operators request. If all is
// true, waves that it does not contain are withdrawn.
type waveEvent struct {
	waves     []task.Wave
	withdrawn []task.WaveNumber
	all       bool
}

func (e waveEvent) apply(s *session, now time.Time, _ *deferredWork) { s.applyWaves(now, e) }

func (s *session) applyWaves(now time.Time, e waveEvent) {
	if s.controller.config.VMs == nil {
		return
	}
	if e.all {
		s.planner.SetWaves(now, e.waves)
		return
	}
	for _, w := range e.waves {
		s.planner.AddWave(now, w)
	}
	for _, n := range e.withdrawn {
		s.planner.WithdrawWave(n)
	}
}

// loadWaves restores the progress of waves that earlier owners stored, and
// applies the waves that the operators request now.
func (s *session) loadWaves(ctx context.Context, now time.Time, requested []task.Wave) error {
	if s.controller.config.VMs == nil {
		return nil
	}
	stored, err := readAll[task.WaveProgress](ctx, s, wavePrefix)
	if err != nil {
		return err
	}
	for _, p := range stored {
		s.planner.RestoreWave(p)
	}
	s.applyWaves(now, waveEvent{waves: requested, all: true})
	return nil
}

// sendUpkeepOrders sends the queued upkeep orders one at a time.
func (s *session) sendUpkeepOrders(ctx context.Context, vms VMs) {
	for {
		orders, ok := s.upkeepOrders.TakeBatch(ctx, 1)
		if !ok {
			return
		}
		if !s.term.Valid() {
			continue // the term is about to end
		}
		callCtx, cancel := context.WithTimeout(ctx, upkeepTimeout)
		result, err := vms.BeginUpkeep(callCtx, orders[0], s.controller.config.Node, s.term.Fence)
		cancel()
		if err != nil {
			result = planner.UpkeepUnanswered
			klog.InfoS("upkeep order not answered", "event", "upkeep", "vm", orders[0].VM, "wave", orders[0].Wave,
				"cause", err)
		}
		if err := s.events.Put(&upkeepEvent{order: orders[0], result: result}); err != nil && ctx.Err() == nil {
			klog.InfoS("upkeep result dropped; the planner repeats the order", "event", "upkeep", "vm", orders[0].VM, "cause", err)
		}
	}
}

type upkeepEvent struct {
	order  planner.UpkeepOrder
	result planner.UpkeepResult
}

func (e *upkeepEvent) apply(s *session, now time.Time, _ *deferredWork) {
	s.planner.HandleUpkeepResult(now, e.order, e.result)
}

// pollVMs reads the list of VMs periodically while a wave is open.
func (s *session) pollVMs(ctx context.Context, vms VMs) {
	health := dependency.New("vms", s.controller.config.Timer)
	for timer.Sleep(ctx, s.controller.config.Timer, vmListPeriod) == nil {
		if !s.wavesOpen.Load() {
			continue
		}
		sent := s.controller.config.Timer.Now()
		callCtx, cancel := context.WithTimeout(ctx, upkeepTimeout)
		list, err := vms.List(callCtx)
		cancel()
		if ctx.Err() != nil {
			return
		}
		health.Observe(err)
		if err != nil {
			continue
		}
		if err := s.events.Put(&vmListEvent{sent: sent, list: list}); err != nil && ctx.Err() == nil {
			klog.InfoS("list of VMs dropped; the next read replaces it", "event", "list", "cause", err)
		}
	}
}

type vmListEvent struct {
	sent time.Time
	list []task.VM
}

func (e *vmListEvent) apply(s *session, now time.Time, _ *deferredWork) {
	s.planner.UpdateVMs(now, e.sent, e.list)
}
