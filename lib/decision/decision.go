// Package decision holds the record of one placement decision: what was
// asked, what was chosen, what was rejected and why. Records are enough to
// check a decision afterwards without the state it was made from.
package decision

import (
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/unit"
)

// Rule names the rule that decided.
type Rule string

// The rules of placement.
const (
	// RuleFree places the job on free resources.
	RuleFree Rule = "free"
	// RuleClaim places a claim on the cells bound to its guaranteed shape.
	RuleClaim Rule = "claim"
	// RulePreempt places a claim by stopping opportunistic gangs.
	RulePreempt Rule = "preempt"
	// RuleBackfill places a job ahead of an older one that can't start yet.
	RuleBackfill Rule = "backfill"
	// RuleWait leaves the job waiting because nothing fits now.
	RuleWait Rule = "wait"
	// RuleReserved leaves the job waiting because the resources are kept for
	// an older one.
	RuleReserved Rule = "reserved"
	// RulePacking leaves the job waiting for a better place, because it would
	// make accelerators unusable while another job waits for room.
	RulePacking Rule = "packing"
	// RuleQuota leaves the job waiting because its account's quota is used.
	RuleQuota Rule = "quota"
	// RuleNeverFits refuses the job because the declared fleet can never run it.
	RuleNeverFits Rule = "never"
	// RuleStop ends the hold of a gang on its workers.
	RuleStop Rule = "stop"
	// RuleWorkerExcluded takes a worker out of placement, and RuleWorkerRecovered takes
	// it in again. The worker is the only member, and there is no job.
	RuleWorkerExcluded  Rule = "workerOut"
	RuleWorkerRecovered Rule = "workerBack"
)

// Cost is one term of the cost of a candidate. Lower is better.
type Cost struct {
	Term  string  `json:"term"`
	Value float64 `json:"value"`
}

// Alternative is a candidate that was not chosen.
type Alternative struct {
	// Where names the rack or zone.
	Where  string `json:"where"`
	Reason string `json:"reason"`
	Costs  []Cost `json:"costs,omitempty"`
}

// Victim is a gang that is stopped to make room.
type Victim struct {
	Job      id.Job       `json:"job"`
	Account  id.Account   `json:"account"`
	Members  []job.Member `json:"members"`
	LostWork unit.Seconds `json:"lostWork"`
}

// Record is one decision about one job.
type Record struct {
	Zone id.Zone `json:"zone"`
	// Epoch and Version name the state: the owner's epoch and the number of
	// changes of state it had made.
	Epoch   id.Epoch `json:"epoch"`
	Version uint64   `json:"version"`
	// Revision is the configuration in force.
	Revision id.Revision `json:"revision"`
	At       time.Time   `json:"at"`
	Job      id.Job      `json:"job"`
	Attempt  int         `json:"attempt"`
	Spec     job.Spec    `json:"spec"`
	// Submitted is when the job was accepted.
	Submitted time.Time `json:"submitted,omitzero"`
	Rule      Rule      `json:"rule"`
	// Members is the choice. It is empty when the job was not placed.
	Members      []job.Member  `json:"members,omitempty"`
	Victims      []Victim      `json:"victims,omitempty"`
	Costs        []Cost        `json:"costs,omitempty"`
	Alternatives []Alternative `json:"alternatives,omitempty"`
	// Target names the workers that are reserved for the job while it waits,
	// and Bypassed counts the later jobs that had started on them.
	Target   []id.Worker `json:"target,omitempty"`
	Bypassed int         `json:"bypassed,omitempty"`
	// Reason says in a sentence why, for people.
	Reason string `json:"reason,omitempty"`
}
