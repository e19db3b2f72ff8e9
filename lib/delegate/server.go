package delegate

import (
	"context"
	"time"

	"bronzewinch.dev/lib/controller"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"
)

// Owners tells the fence of the owner that this node knows.
type Owners interface {
	OwnerFence() task.Fence
}

// ServerConfig configures a Server.
type ServerConfig struct {
	// Workers makes the calls to the workers.
	Workers controller.Workers
	Owners  Owners
	Specs   Specs
	Server  *peer.Server
	// SinceBoot returns the time since this machine started, including the time for
	// which it was suspended. The default is timer.SinceBoot.
	SinceBoot func() time.Duration
}

// Server makes calls to workers for the owner.
type Server struct {
	config ServerConfig
	specs  *specCache
}

// NewServer returns a Server and registers its methods on c.Server.
func NewServer(c ServerConfig) *Server {
	if c.SinceBoot == nil {
		c.SinceBoot = timer.SinceBoot
	}
	s := &Server{config: c, specs: newSpecCache()}
	peer.Handle(c.Server, pollMethod, s.poll)
	peer.Handle(c.Server, orderMethod, s.sendOrder)
	return s
}

// admit returns the time that is left for a call, or an error if the call must not
// be made.
func (s *Server) admit(p permit) (time.Duration, error) {
	left := p.Expires - s.config.SinceBoot()
	if left <= 0 {
		return 0, problem.New(problem.Expired, problem.Detail{Field: "permission for a call to a worker", Value: (-left).String() + " ago",
			Remedy: "send the call again; this node has not made it"})
	}
	if known := s.config.Owners.OwnerFence(); known > p.Fence {
		return 0, problem.New(problem.Fenced, problem.Detail{Field: "owner of a call to a worker",
			Remedy: "follow the new owner; this node has not made the call"})
	}
	return left, nil
}

func (s *Server) poll(ctx context.Context, call pollCall) (pollReply, error) {
	left, err := s.admit(call.Permit)
	if err != nil {
		return pollReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	r, err := s.config.Workers.Poll(ctx, controller.Target{Worker: call.Worker, Address: call.Address},
		controller.PollRequest{Fence: call.Permit.Fence, Until: call.Until, Acked: call.Acked, Wait: call.Wait})
	return pollReply{Report: encodeReport(r), Err: callError(err)}, nil
}

func (s *Server) sendOrder(ctx context.Context, call orderCall) (orderReply, error) {
	spec, err := s.completeSpec(ctx, call)
	if err != nil {
		return orderReply{}, err
	}
	left, err := s.admit(call.Permit)
	if err != nil {
		return orderReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	result, err := s.config.Workers.SendOrder(ctx, controller.Target{Worker: call.Worker, Address: call.Address}, planner.Order{
		Kind: call.Kind, Worker: call.Worker, Task: call.Task.decode(), Run: call.Run, Spec: spec, Checkpoint: call.Checkpoint,
		Ticket: call.Ticket, Pace: call.Pace}, call.Permit.Fence, call.Until)
	return orderReply{Result: result, Err: callError(err)}, nil
}

// completeSpec returns the spec of an order's job. Only starts need it.
func (s *Server) completeSpec(ctx context.Context, call orderCall) (string, error) {
	if call.Kind != planner.Start {
		return "", nil
	}
	if call.Spec != nil {
		return *call.Spec, nil
	}
	spec, err := s.specs.get(ctx, s.config.SinceBoot(), call.Task.Job, s.config.Specs)
	if err != nil {
		return "", problem.New(problem.NotFound, problem.Detail{Field: "spec of job " + string(call.Task.Job), Value: err.Error(),
			Remedy: "send the order with the spec; this node has not sent it"})
	}
	return spec, nil
}

// callError returns the typed error of a call to a worker, or nil.
func callError(err error) *problem.Error {
	if err == nil {
		return nil
	}
	return problem.As(err)
}
