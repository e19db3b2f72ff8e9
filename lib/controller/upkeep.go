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
	// maxQueuedUpkeepOrders bounds the orders to the platform's VMs that wait.
	maxQueuedUpkeepOrders = 256
	// upkeepTimeout bounds one call about VMs. The platform answers within
	// milliseconds, and within half a second on a slow day.
	upkeepTimeout = 2 * time.Second
	// vmListPeriod is the time between two reads of the list of VMs during a wave.
	vmListPeriod = time.Second
)

func waveKey(n task.WaveNumber) string { return wavePrefix + strconv.FormatUint(uint64(n), 10) }

// VMs calls the platform about the VMs on which workers live.
type VMs interface {
	List(ctx context.Context) ([]task.VM, error)
	// BeginUpkeep ends all that runs on a VM and begins its upkeep. An error
	// means that the call may be carried out, now or later.
	BeginUpkeep(ctx context.Context, u planner.UpkeepOrder, holder id.Node, fence task.Fence) (planner.UpkeepResult, error)
	// Status is what the operators read of a wave.
	Status(p task.WaveProgress) (kv.Write, error)
}

// waveEvent carries what the operators ask for. If all is set, waves that it
// does not name are withdrawn.
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

// loadWaves restores what earlier owners stored of waves, and takes over what
// the operators ask for now.
func (s *session) loadWaves(ctx context.Context, now time.Time, requested []task.Wave) error {
	if s.controller.config.VMs == nil {
		return nil
	}
	stored, err := readAll[task.WaveProgress](ctx, s.controller.config.Store, wavePrefix)
	if err != nil {
		return err
	}
	for _, p := range stored {
		s.planner.RestoreWave(p)
	}
	s.applyWaves(now, waveEvent{waves: requested, all: true})
	return nil
}

// sendUpkeepOrders gives one order after the other.
func (s *session) sendUpkeepOrders(ctx context.Context, vms VMs) {
	for {
		orders, ok := s.upkeepOrders.TakeAll(ctx, 1)
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
			klog.InfoS("order to begin an upkeep not answered", "event", "upkeep", "vm", orders[0].VM, "wave", orders[0].Wave,
				"cause", err)
		}
		if err := s.events.Put(&upkeepEvent{order: orders[0], result: result}); err != nil && ctx.Err() == nil {
			klog.InfoS("answer dropped; the order is given again", "event", "upkeep", "vm", orders[0].VM, "cause", err)
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

// pollVMs reads the list of VMs while a wave needs it.
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
			klog.InfoS("list of VMs dropped; it is read again", "event", "list", "cause", err)
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
