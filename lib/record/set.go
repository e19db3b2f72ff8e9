// Package record holds configuration records: the types the system works
// with, the schema versions they are written in, their checks, and the set of
// records in force at a revision.
package record

import (
	"maps"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/unit"
)

// Kind tells records apart.
type Kind string

// The kinds of records.
const (
	KindOperator  Kind = "operator"
	KindAccount   Kind = "account"
	KindGuarantee Kind = "guarantee"
	KindService   Kind = "service"
	KindZone      Kind = "zone"
	KindPolicy    Kind = "policy"
	KindJob       Kind = "job"
	KindObjective Kind = "objective"
)

// TokenHash is the SHA-256 hash of a bearer token, in lower-case hexadecimal.
type TokenHash string

// Operator may apply records and read everything.
type Operator struct {
	Name   id.Operator
	Tokens []TokenHash
}

// Account is a client account.
type Account struct {
	Name   id.Account
	Tokens []TokenHash
	// Quota is the most accelerators that the opportunistic jobs of the
	// account hold together. Zero means no limit.
	Quota unit.Accelerators
	// Weight is the account's share of what is over, against the weights of
	// the others. It is at least 1.
	Weight int
	// Rate is the greatest rate of requests to services, zero for no limit.
	Rate unit.PerSecond
	// Concurrency is the greatest number of requests in progress on the whole
	// system, zero for no limit.
	Concurrency int
	// GuaranteedSlots is the number of backend slots of each service that the
	// account can always get.
	GuaranteedSlots unit.Slots
}

// Guarantee is a guaranteed shape of an account.
type Guarantee struct {
	Account id.Account
	Name    id.Shape
	Shape   job.Shape
	// Count is how many of the shape the account can hold at once.
	Count int
	// Zone restricts the shape to one availability zone. It is empty for any.
	Zone id.Zone
}

// GuaranteeKey names a guarantee among all accounts.
type GuaranteeKey struct {
	Account id.Account
	Name    id.Shape
}

// Backend is one backend server of a service.
type Backend struct {
	Name id.Backend
	// Address is an IP address and port.
	Address string
	Zone    id.Zone
}

// Service is a service that callers send requests to.
type Service struct {
	Name        id.Service
	Backends    []Backend
	Slots       unit.Slots       // of each backend server
	Connections unit.Connections // of each backend server
	// Timeout is the longest time for one request.
	Timeout time.Duration
	// MaxRequest and MaxResponse are the greatest sizes of the bodies.
	MaxRequest  unit.Bytes
	MaxResponse unit.Bytes
}

// Worker is a worker as declared.
type Worker struct {
	Name id.Worker
	Rack id.Rack
	// Address is an IP address and port.
	Address   string
	Resources unit.Resources
}

// Zone is an availability zone with its workers.
type Zone struct {
	Name    id.Zone
	Region  id.Region
	Workers []Worker
}

// Policy holds the weights and bounds of placement.
type Policy struct {
	// CompletionWeight and FragmentationWeight weigh the two measures against
	// each other. Both are 0 or more, and one is more than 0.
	CompletionWeight    float64
	FragmentationWeight float64
	// GuardRackLoss asks that all guaranteed shapes can still be held after
	// any one rack is lost.
	GuardRackLoss bool
	// MaxBypass is how many later jobs may start before the oldest large
	// waiting job.
	MaxBypass int
	// CheckpointGrace is the time a preempted gang gets to checkpoint.
	CheckpointGrace time.Duration
}

// DefaultPolicy is in force until a policy record is accepted. At smaller
// values of MaxBypass, all jobs wait longer; docs/placement.md has the figures.
var DefaultPolicy = Policy{
	CompletionWeight:    1,
	FragmentationWeight: 1,
	MaxBypass:           200,
	CheckpointGrace:     time.Second,
}

// Set is the records in force at a revision. It is not changed once it is
// made, so that any thread may read it without a lock.
type Set struct {
	Revision   id.Revision
	Operators  map[id.Operator]Operator
	Accounts   map[id.Account]Account
	Guarantees map[GuaranteeKey]Guarantee
	Services   map[id.Service]Service
	Zones      map[id.Zone]Zone
	Policy     Policy
	Objectives map[id.Objective]Objective

	// Copies says where the copies of guarantees without a zone are held.
	Copies []CopyZones

	// records holds the records as they were written, and past the last
	// accepted changes.
	records map[Key]AcceptedRecord
	history changeHistory
}

// NewSet returns the set before the first revision.
func NewSet() *Set {
	return &Set{
		Operators:  make(map[id.Operator]Operator),
		Accounts:   make(map[id.Account]Account),
		Guarantees: make(map[GuaranteeKey]Guarantee),
		Services:   make(map[id.Service]Service),
		Zones:      make(map[id.Zone]Zone),
		Policy:     DefaultPolicy,
		Objectives: make(map[id.Objective]Objective),
		records:    make(map[Key]AcceptedRecord),
	}
}

// Clone returns a copy of s whose maps can be changed.
func (s *Set) Clone() *Set {
	c := *s
	c.Operators = maps.Clone(s.Operators)
	c.Accounts = maps.Clone(s.Accounts)
	c.Guarantees = maps.Clone(s.Guarantees)
	c.Services = maps.Clone(s.Services)
	c.Zones = maps.Clone(s.Zones)
	c.Objectives = maps.Clone(s.Objectives)
	c.records = maps.Clone(s.records)
	return &c
}
