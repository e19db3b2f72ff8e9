// Package record defines the configuration records: the types that the other
// packages use, the schema versions in which operators write records, the
// validation of records, and the set of records in force at a revision.
package record

import (
	"maps"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/unit"
)

// Kind is the kind of a record.
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

// Operator is a user who may apply records and read all data.
type Operator struct {
	Name   id.Operator
	Tokens []TokenHash
}

// Account is a client account.
type Account struct {
	Name   id.Account
	Tokens []TokenHash
	// Quota is the maximum number of accelerators of all opportunistic jobs of
	// the account together, zero for no limit.
	Quota unit.Accelerators
	// Weight is the account's share of the capacity beyond the guarantees,
	// relative to the weights of the other accounts. It is at least 1.
	Weight int
	// Rate is the maximum rate of requests to services, zero for no limit.
	Rate unit.PerSecond
	// Concurrency is the maximum number of requests in progress on all nodes
	// together, zero for no limit.
	Concurrency int
	// GuaranteedSlots is the number of backend slots of each service that are
	// guaranteed to the account.
	GuaranteedSlots unit.Slots
}

// Guarantee is a guaranteed shape of an account.
type Guarantee struct {
	Account id.Account
	Name    id.Shape
	Shape   job.Shape
	// Count is the number of copies of the shape that the account may use at
	// the same time.
	Count int
	// Zone restricts the shape to one availability zone. If it is empty, any
	// zone may have the copies.
	Zone id.Zone
}

// GuaranteeKey identifies a guarantee.
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
	// Timeout is the maximum time for one request.
	Timeout time.Duration
	// MaxRequest and MaxResponse are the maximum sizes of the bodies.
	MaxRequest  unit.Bytes
	MaxResponse unit.Bytes
}

// Worker is a worker that a zone record declares.
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
	// Evacuated means that no new work is placed in the zone.
	Evacuated bool
}

// Policy has the weights and limits of placement.
type Policy struct {
	// CompletionWeight and FragmentationWeight are the relative weights of the
	// two criteria of placement. Both are 0 or more, and at least one is more
	// than 0.
	CompletionWeight    float64
	FragmentationWeight float64
	// GuardRackLoss requires that all guaranteed shapes still fit after the
	// loss of any one rack.
	GuardRackLoss bool
	// MaxBypass is the maximum number of later jobs that may start before the
	// oldest large waiting job.
	MaxBypass int
	// CheckpointGrace is the time that a preempted gang has to write a
	// checkpoint.
	CheckpointGrace time.Duration
}

// DefaultPolicy is in force if there is no policy record. With a smaller
// MaxBypass, all jobs wait longer; docs/placement.md has the figures.
var DefaultPolicy = Policy{
	CompletionWeight:    1,
	FragmentationWeight: 1,
	MaxBypass:           200,
	CheckpointGrace:     time.Second,
}

// Set is the set of records in force at a revision. It is immutable once it is
// built, so goroutines may read it without a lock.
type Set struct {
	Revision   id.Revision
	Operators  map[id.Operator]Operator
	Accounts   map[id.Account]Account
	Guarantees map[GuaranteeKey]Guarantee
	Services   map[id.Service]Service
	Zones      map[id.Zone]Zone
	Policy     Policy
	Objectives map[id.Objective]Objective

	// Copies has the zones of the copies of guarantees without a zone.
	Copies []CopyZones

	// records has the accepted records from which the maps above are built, and
	// history the last accepted changes.
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

// Clone returns a copy of s with copies of its maps, which may be changed.
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
