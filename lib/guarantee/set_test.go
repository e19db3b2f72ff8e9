package guarantee_test

import (
	"fmt"
	"testing"

	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

// twoZoneRecords returns a set of records with two zones of two equal workers
// each.
func twoZoneRecords() *record.Set {
	s := record.NewSet()
	for _, zone := range []id.Zone{"akaki", "bole"} {
		z := record.Zone{Name: zone, Region: "shewa"}
		for n := range 2 {
			z.Workers = append(z.Workers, record.Worker{Name: id.Worker(fmt.Sprint(zone, "-", n)), Rack: id.Rack(zone) + "-r1",
				Resources: unit.Resources{Accelerators: 8, Cores: 16 * unit.Core, Memory: 64 * unit.GiB}})
		}
		s.Zones[zone] = z
	}
	return s
}

func addGuarantee(s *record.Set, account id.Account, zone id.Zone, workers unit.Workers) {
	g := record.Guarantee{Account: account, Name: "whole", Count: 1, Zone: zone,
		Shape: job.Shape{Workers: workers, Locality: job.SameRack,
			PerWorker: unit.Resources{Accelerators: 8, Cores: unit.Core, Memory: unit.GiB}}}
	s.Guarantees[record.GuaranteeKey{Account: account, Name: g.Name}] = g
}

// TestCopiesKeepTheirZone guards against a configuration change that moves a
// copy to another zone. When a claim uses the copy at that time, other shapes
// bound in the first zone could no longer be claimed there.
func TestCopiesKeepTheirZone(t *testing.T) {
	is := is.New(t)
	s := twoZoneRecords()
	addGuarantee(s, "small", "", 1)
	first, err := guarantee.Binder{}.Bind(s)
	is.NoErr(err)
	is.Equal(len(first), 1)
	s.Copies = first
	for _, account := range []id.Account{"a", "another", "zz"} { // names that sort before and after "small"
		addGuarantee(s, account, "", 1)
		next, err := guarantee.Binder{}.Bind(s)
		is.NoErr(err)
		s.Copies = next
		b, err := guarantee.BindSet(s)
		is.NoErr(err)
		is.Equal(b.CopyCounts(first[0].Zones[0])[record.GuaranteeKey{Account: "small", Name: "whole"}], 1)
	}
}

// TestCopiesMoveWhenNecessary guards against the rejection of a set that fits
// once a copy whose guarantee names no zone moves to another zone.
func TestCopiesMoveWhenNecessary(t *testing.T) {
	is := is.New(t)
	s := twoZoneRecords()
	addGuarantee(s, "small", "", 1)
	first, err := guarantee.Binder{}.Bind(s)
	is.NoErr(err)
	s.Copies = first
	addGuarantee(s, "large", first[0].Zones[0], 2) // the whole zone
	next, err := guarantee.Binder{}.Bind(s)
	is.NoErr(err)
	is.True(next[0].Zones[0] != first[0].Zones[0])
	addGuarantee(s, "more", "", 2)
	_, err = guarantee.Binder{}.Bind(s)
	is.True(err != nil) // no zone has two free workers
}
