// Package decision defines the record of a placement decision: the request, the
// choice, the rejected alternatives and the reasons. A record is sufficient to
// check the decision later without the state that it was based on.
package decision

import (
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/unit"
)

// Rule is the placement rule that determined a decision.
type Rule string

// The rules of placement.
const (
	// RuleFree places the job on free resources.
	RuleFree Rule = "free"
	// RuleClaim places a claim on the cells that are bound to its guaranteed
	// shape.
	RuleClaim Rule = "claim"
	// RulePreempt places a claim by stopping opportunistic gangs.
	RulePreempt Rule = "preempt"
	// RuleBackfill places a job before an older one that can't start yet.
	RuleBackfill Rule = "backfill"
	// RuleWait leaves the job waiting because the free resources do not suffice
	// now.
	RuleWait Rule = "wait"
	// RuleReserved leaves the job waiting because the resources are reserved for
	// an older one.
	RuleReserved Rule = "reserved"
	// RulePacking delays the job for a better placement, because this one would
	// strand accelerators while another job waits for resources.
	RulePacking Rule = "packing"
	// RuleQuota leaves the job waiting because the quota of its account is used
	// up.
	RuleQuota Rule = "quota"
	// RuleNeverFits rejects the job because the declared fleet can never run it.
	RuleNeverFits Rule = "never"
	// RuleStop stops a gang and frees its allocations on the workers.
	RuleStop Rule = "stop"
	// RuleWorkerExcluded excludes a worker from placement, and
	// RuleWorkerRecovered makes it eligible again. The worker is the only member
	// of the record, and the record names no job.
	RuleWorkerExcluded  Rule = "workerOut"
	RuleWorkerRecovered Rule = "workerBack"
)

// Cost is one term of the cost of a candidate. Candidates with lower costs are
// preferred.
type Cost struct {
	Term  string  `json:"term"`
	Value float64 `json:"value"`
}

// Alternative is a candidate that was not chosen.
type Alternative struct {
	// Where is the name of the rack or zone.
	Where  string `json:"where"`
	Reason string `json:"reason"`
	Costs  []Cost `json:"costs,omitempty"`
}

// Victim is a gang that is preempted.
type Victim struct {
	Job      id.Job       `json:"job"`
	Account  id.Account   `json:"account"`
	Members  []job.Member `json:"members"`
	LostWork unit.Seconds `json:"lostWork"`
}

// Record is one decision about one job or worker.
type Record struct {
	Zone id.Zone `json:"zone"`
	// Epoch and Version identify the state that the decision is based on: the
	// epoch of the owner, and the number of state changes it had made in it.
	Epoch   id.Epoch `json:"epoch"`
	Version uint64   `json:"version"`
	// Revision is the revision of the configuration in force.
	Revision id.Revision `json:"revision"`
	At       time.Time   `json:"at"`
	Job      id.Job      `json:"job"`
	Attempt  int         `json:"attempt"`
	Spec     job.Spec    `json:"spec"`
	// Submitted is the time at which the job was accepted.
	Submitted time.Time `json:"submitted,omitzero"`
	Rule      Rule      `json:"rule"`
	// Members is the chosen placement. It is empty when the job was not placed.
	Members      []job.Member  `json:"members,omitempty"`
	Victims      []Victim      `json:"victims,omitempty"`
	Costs        []Cost        `json:"costs,omitempty"`
	Alternatives []Alternative `json:"alternatives,omitempty"`
	// Target lists the workers that are reserved for the job while it waits, and
	// Bypassed counts the later jobs that have started on them.
	Target   []id.Worker `json:"target,omitempty"`
	Bypassed int         `json:"bypassed,omitempty"`
	// Reason explains the decision to users in one sentence.
	Reason string `json:"reason,omitempty"`
}
