package dispatch

import (
	"cmp"
	"slices"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// Load is the state of a placement shard as far as the choice of a zone needs
// it.
type Load struct {
	Zone id.Zone `cbor:"1,keyasint"`
	// Free is the accelerators that no gang holds on workers in placement.
	Free unit.Accelerators `cbor:"2,keyasint"`
	// Waiting is the accelerators that waiting jobs ask for.
	Waiting unit.Accelerators `cbor:"3,keyasint"`
	// Claims counts the claims that wait or hold workers, by guaranteed shape.
	Claims map[record.GuaranteeKey]int `cbor:"4,keyasint,omitempty"`
	// Job is the job asked about, when the shard has it.
	Job *job.Job `cbor:"5,keyasint,omitempty"`
}

// spare is what is free beyond the demand of waiting jobs.
func (l Load) spare() unit.Accelerators { return l.Free - l.Waiting }

// chooseZone returns the zone for a job. A claim goes where most copies of its
// shape are unclaimed; any other job goes where most accelerators are free
// beyond the waiting demand. Zones are compared by name last, so that the
// choice depends on the loads alone.
func chooseZone(spec job.Spec, loads []Load, copyCount func(id.Zone) int) id.Zone {
	key := record.GuaranteeKey{Account: spec.Account, Name: spec.Claim}
	best := slices.MaxFunc(loads, func(a, b Load) int {
		byUnclaimed := 0
		if spec.Claim != "" {
			byUnclaimed = cmp.Compare(copyCount(a.Zone)-a.Claims[key], copyCount(b.Zone)-b.Claims[key])
		}
		return cmp.Or(byUnclaimed, cmp.Compare(a.spare(), b.spare()), -cmp.Compare(a.Zone, b.Zone))
	})
	return best.Zone
}
