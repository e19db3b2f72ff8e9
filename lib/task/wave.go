package task

import (
	"time"

	"bronzewinch.dev/lib/id"
)

// WaveNumber identifies a wave of upkeep.
type WaveNumber uint64

// Wave is the operators' wish that each of a set of VMs has its upkeep.
type Wave struct {
	Number WaveNumber
	VMs    []id.VM
	// TimeLimit is the time in which the wave should be over.
	TimeLimit time.Duration
	// MaxDown bounds the VMs that are down for the wave at the same time.
	MaxDown int
}

// WaveProgress is the durable state of a wave.
type WaveProgress struct {
	Number WaveNumber `cbor:"number"`
	// FirstSeen is the time at which an owner first read of the wave.
	FirstSeen time.Time `cbor:"seen"`
	// Ordered are VMs of which the upkeep was ordered and is not known to be over.
	Ordered []id.VM `cbor:"ordered,omitempty"`
	// Finished are VMs that are back from their upkeep, or gone for good.
	Finished  []id.VM `cbor:"over,omitempty"`
	Completed bool    `cbor:"completed,omitempty"`
}

// VM is a VM as the platform's list of VMs describes it.
type VM struct {
	Name id.VM
	// Up is false while the VM has its upkeep, changes its pool or is off.
	Up bool
	// Worker lives on the VM, or is empty.
	Worker id.Worker
}
