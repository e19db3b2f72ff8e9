package dispatch

import (
	"cmp"
	"slices"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// Load is the state of a placement shard that the choice of a zone depends on.
type Load struct {
	Zone id.Zone `cbor:"1,keyasint"`
	// Free is the number of accelerators that no gang holds, on workers that
	// are available for placement.
	Free unit.Accelerators `cbor:"2,keyasint"`
	// Waiting is the number of accelerators that waiting jobs require.
	Waiting unit.Accelerators `cbor:"3,keyasint"`
	// Claims is the number of claims that wait or hold workers, by guaranteed
	// shape.
	Claims map[record.GuaranteeKey]int `cbor:"4,keyasint,omitempty"`
	// Job is the job of the request, if the shard has it.
	Job *job.Job `cbor:"5,keyasint,omitempty"`
}

// spare returns the free accelerators less those that waiting jobs require. It
// can be negative.
func (l Load) spare() unit.Accelerators { return l.Free - l.Waiting }

// openZones returns the loads of the zones that are not evacuated, or all loads if none
// are left. A job then waits in an evacuated zone.
func openZones(set *record.Set, loads []Load) []Load {
	open := slices.DeleteFunc(slices.Clone(loads), func(l Load) bool { return set.Zones[l.Zone].Evacuated })
	if len(open) == 0 {
		return loads
	}
	return open
}

// chooseZone returns the zone for a job. A claim is sent to the zone with the
// most unclaimed copies of its shape. For any other job, and to break ties, the
// zone with the most spare accelerators is chosen, and then the first by name,
// so that the choice depends on the loads alone.
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
