package task

import (
	"time"

	"bronzewinch.dev/lib/id"
)

// WaveNumber identifies a wave of upkeep. Upkeep is the platform's term for the
// maintenance of a VM.
type WaveNumber uint64

// Wave is the operators' request for the upkeep of each of a set of VMs.
type Wave struct {
	Number WaveNumber
	VMs    []id.VM
	// TimeLimit is the time within which the wave should be completed.
	TimeLimit time.Duration
	// MaxDown bounds the VMs that are down for the wave at the same time.
	MaxDown int
}

// WaveProgress is the stored state of a wave.
type WaveProgress struct {
	Number WaveNumber `cbor:"number"`
	// FirstSeen is the time at which an owner first read the request for the wave.
	FirstSeen time.Time `cbor:"seen"`
	// Ordered lists VMs whose upkeep was ordered and is not known to have finished.
	Ordered []id.VM `cbor:"ordered,omitempty"`
	// Workers are the workers of those VMs. A new owner sends them no starts before it has
	// read the list of VMs. Records of earlier versions lack it.
	Workers map[id.VM]id.Worker `cbor:"workers,omitempty"`
	// Finished lists VMs whose upkeep has finished or is no longer possible.
	Finished  []id.VM `cbor:"over,omitempty"`
	Completed bool    `cbor:"completed,omitempty"`
}

// VM is a VM as the platform's list of VMs describes it.
type VM struct {
	Name id.VM
	// Up is false while the VM has its upkeep, changes its pool or is off.
	Up bool
	// Worker is the worker on the VM, or empty.
	Worker id.Worker
}
