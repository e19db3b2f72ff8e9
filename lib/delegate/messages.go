package delegate

import (
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/task"
)

// permit is the owner's permission for one call. The delegate checks it before it
// makes the call, so that a delegate that was paused, or that received the call
// late, does not make it any more.
type permit struct {
	// Fence is the fence of the call. The delegate rejects calls of an owner whose
	// term has been followed by one that the delegate knows.
	Fence task.Fence `cbor:"1,keyasint,omitempty"`
	// Expires is the time after which the call must not be made, as timer.SinceBoot
	// on the delegate.
	Expires time.Duration `cbor:"2,keyasint,omitempty"`
}

// The fields of the messages have numbers in place of names, because the messages of a
// large deployment are most of the bytes that its owner sends.
type (
	pollCall struct {
		Permit  permit           `cbor:"1,keyasint,omitempty"`
		Worker  id.Worker        `cbor:"2,keyasint,omitempty"`
		Address string           `cbor:"3,keyasint,omitempty"`
		Acked   task.EndSeq      `cbor:"4,keyasint,omitempty"`
		Until   task.ClockMillis `cbor:"5,keyasint,omitempty"`
		Wait    time.Duration    `cbor:"6,keyasint,omitempty"`
	}
	// pollReply holds the report of the worker, or the error of the call to it.
	pollReply struct {
		Report report         `cbor:"1,keyasint,omitempty"`
		Err    *problem.Error `cbor:"2,keyasint,omitempty"`
	}
	report struct {
		Incarnation task.Incarnation `cbor:"1,keyasint,omitempty"`
		Clock       task.ClockMillis `cbor:"2,keyasint,omitempty"`
		Draining    bool             `cbor:"3,keyasint,omitempty"`
		Remaining   time.Duration    `cbor:"4,keyasint,omitempty"`
		Truncated   bool             `cbor:"5,keyasint,omitempty"`
		Active      []activeRun      `cbor:"6,keyasint,omitempty"`
		Ends        []endedRun       `cbor:"7,keyasint,omitempty"`
	}
	activeRun struct {
		Task        taskName        `cbor:"1,keyasint,omitempty"`
		Run         task.RunNumber  `cbor:"2,keyasint,omitempty"`
		Checkpoint  task.Checkpoint `cbor:"3,keyasint,omitempty"`
		Percent     task.Percent    `cbor:"4,keyasint,omitempty"`
		TailLatency time.Duration   `cbor:"5,keyasint,omitempty"`
	}
	endedRun struct {
		Seq        task.EndSeq     `cbor:"1,keyasint,omitempty"`
		Task       taskName        `cbor:"2,keyasint,omitempty"`
		Run        task.RunNumber  `cbor:"3,keyasint,omitempty"`
		Reason     task.EndReason  `cbor:"4,keyasint,omitempty"`
		Checkpoint task.Checkpoint `cbor:"5,keyasint,omitempty"`
	}
	taskName struct {
		Job        id.Job `cbor:"1,keyasint,omitempty"`
		Occurrence int    `cbor:"2,keyasint,omitempty"`
		Step       int    `cbor:"3,keyasint,omitempty"`
		Index      int    `cbor:"4,keyasint,omitempty"`
	}
	orderCall struct {
		Permit     permit            `cbor:"1,keyasint,omitempty"`
		Worker     id.Worker         `cbor:"2,keyasint,omitempty"`
		Address    string            `cbor:"3,keyasint,omitempty"`
		Kind       planner.OrderKind `cbor:"4,keyasint,omitempty"`
		Task       taskName          `cbor:"5,keyasint,omitempty"`
		Run        task.RunNumber    `cbor:"6,keyasint,omitempty"`
		Checkpoint task.Checkpoint   `cbor:"7,keyasint,omitempty"`
		Ticket     string            `cbor:"8,keyasint,omitempty"`
		Pace       task.Percent      `cbor:"9,keyasint,omitempty"`
		Until      task.ClockMillis  `cbor:"10,keyasint,omitempty"`
		// Spec is the spec of the job. It is nil if the delegate has to read the spec.
		Spec *string `cbor:"11,keyasint,omitempty"`
	}
	// orderReply holds the result of the order, or the error of the call to the worker.
	orderReply struct {
		Result planner.OrderResult `cbor:"1,keyasint,omitempty"`
		Err    *problem.Error      `cbor:"2,keyasint,omitempty"`
	}
)

func encodeName(n task.Name) taskName {
	return taskName{Job: n.Job, Occurrence: n.Occurrence, Step: n.Step, Index: n.Index}
}

func (n taskName) decode() task.Name {
	return task.Name{Job: n.Job, Occurrence: n.Occurrence, Step: n.Step, Index: n.Index}
}

func encodeReport(r task.Report) report {
	e := report{Incarnation: r.Incarnation, Clock: r.Clock, Draining: r.Draining, Remaining: r.Remaining, Truncated: r.Truncated}
	for _, a := range r.Active {
		e.Active = append(e.Active, activeRun{Task: encodeName(a.Task), Run: a.Run, Checkpoint: a.Checkpoint, Percent: a.Percent,
			TailLatency: a.TailLatency})
	}
	for _, end := range r.Ends {
		e.Ends = append(e.Ends, endedRun{Seq: end.Seq, Task: encodeName(end.Task), Run: end.Run, Reason: end.Reason,
			Checkpoint: end.Checkpoint})
	}
	return e
}

func (r report) decode(worker id.Worker) task.Report {
	d := task.Report{Worker: worker, Incarnation: r.Incarnation, Clock: r.Clock, Draining: r.Draining, Remaining: r.Remaining,
		Truncated: r.Truncated}
	for _, a := range r.Active {
		d.Active = append(d.Active, task.ActiveRun{Task: a.Task.decode(), Run: a.Run, Checkpoint: a.Checkpoint, Percent: a.Percent,
			TailLatency: a.TailLatency})
	}
	for _, end := range r.Ends {
		d.Ends = append(d.Ends, task.EndedRun{Seq: end.Seq, Task: end.Task.decode(), Run: end.Run, Reason: end.Reason,
			Checkpoint: end.Checkpoint})
	}
	return d
}
