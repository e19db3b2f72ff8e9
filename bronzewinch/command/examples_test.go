package command_test

import (
	"bufio"
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/settings"
	"bronzewinch.dev/lib/token"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

// exampleSet returns the set of all records of an example, and how many are
// written in each schema version.
func exampleSet(t *testing.T, dir string) (*record.Set, map[record.Schema]int) {
	t.Helper()
	change := record.Change{ID: "example", Author: "example"}
	schemas := make(map[record.Schema]int)
	for _, r := range exampleRecords(t, filepath.Join(dir, "records")) {
		change.Put(r)
		schemas[r.Schema()]++
	}
	s, err := record.NewSet().Accept(change, 1, guarantee.Binder{})
	if err != nil {
		t.Fatal(err)
	}
	return s, schemas
}

func exampleRecords(t *testing.T, dir string) []record.Record {
	t.Helper()
	var all []record.Record
	names, _ := filepath.Glob(filepath.Join(dir, "*.toml"))
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		records, err := record.ParseFile(name, data)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, records...)
	}
	return all
}

// TestExamples guards against examples that the program rejects, or that differ
// from the deployments that the design page describes.
func TestExamples(t *testing.T) {
	for _, tt := range []struct {
		name      string
		resources unit.Resources
		service   id.Service
	}{
		{"cooperative", unit.Resources{Accelerators: 8, Cores: 32 * unit.Core, Memory: 128 * unit.GiB}, "skymap"},
		{"authority", unit.Resources{Accelerators: 8, Cores: 128 * unit.Core, Memory: 512 * unit.GiB}, "offcut-scorer"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			dir := filepath.Join("..", "..", "examples", tt.name)
			s, schemas := exampleSet(t, dir)
			is.True(schemas[record.V1] > 0 && schemas[record.V2] > 0) // both versions have an example
			is.Equal(len(s.Zones), 4)
			is.Equal(len(s.Accounts), 4)
			is.True(s.Policy.GuardRackLoss)
			for _, i := range record.Indicators() {
				is.True(slices.ContainsFunc(s.SortedObjectives(), func(o record.Objective) bool { return o.Measure.Indicator == i }))
			}
			workers, racks, used := 0, make(map[id.Rack]int), make(map[string]bool)
			for _, z := range s.Zones {
				for _, w := range z.Workers {
					workers++
					racks[w.Rack]++
					used[w.Address] = true
					is.Equal(w.Resources, tt.resources)
				}
			}
			is.Equal(workers, 50)
			for _, n := range racks {
				is.True(n <= 6)
			}
			service := s.Services[tt.service]
			is.Equal(len(service.Backends), 50)
			is.Equal(service.Slots, unit.Slots(8))
			is.Equal(service.Connections, unit.Connections(64))
			for _, b := range service.Backends {
				used[b.Address] = true
			}
			is.Equal(len(used), 100) // no address is used twice
			status, _, errs := newRig(t).run(context.Background(), "check -offline "+dir+"/records")
			is.Equal(errs, "")
			is.Equal(status, 0)
			for _, r := range exampleRecords(t, filepath.Join(dir, "jobs")) {
				spec, err := r.JobSpec()
				is.NoErr(err)
				_, known := s.Guarantees[record.GuaranteeKey{Account: spec.Account, Name: spec.Claim}]
				is.True(known || spec.Claim == "")
				_, known = s.Accounts[spec.Account]
				is.True(known)
			}
			checkExampleSettings(t, dir, s)
			checkExampleTokens(t, dir, s)
		})
	}
}

func checkExampleSettings(t *testing.T, dir string, s *record.Set) {
	t.Helper()
	is := is.New(t)
	names, err := filepath.Glob(filepath.Join(dir, "nodes", "*.toml"))
	is.NoErr(err)
	is.Equal(len(names), 8)
	operators := make(map[string]bool)
	for _, name := range names {
		d, err := settings.ReadDaemon(name)
		is.NoErr(err)
		is.Equal(s.Zones[d.Node.Zone].Region, d.Node.Region)
		is.Equal(string(d.Node.ID)+".toml", filepath.Base(name))
		operators["http://"+d.Listen.Operators] = true
	}
	contexts, err := settings.ReadContexts(filepath.Join(dir, "contexts.toml"))
	is.NoErr(err)
	for _, address := range contexts.Contexts[contexts.Current].Addresses {
		is.True(operators[address])
	}
	_, err = token.FromFile(contexts.Contexts[contexts.Current].TokenFile)
	is.NoErr(err)
}

// checkExampleTokens checks that the listed tokens are those of the records, and
// that their prefix marks them as examples.
func checkExampleTokens(t *testing.T, dir string, s *record.Set) {
	t.Helper()
	is := is.New(t)
	f, err := os.Open(filepath.Join(dir, "tokens.txt"))
	is.NoErr(err)
	defer f.Close()
	count := 0
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		name, text, _ := strings.Cut(lines.Text(), " ")
		is.True(strings.HasPrefix(text, "example-only-"))
		hashes := s.Operators[id.Operator(strings.TrimPrefix(name, "operator/"))].Tokens
		if account, ok := strings.CutPrefix(name, "account/"); ok {
			hashes = s.Accounts[id.Account(account)].Tokens
		}
		is.True(token.New(text).Matches(hashes))
		count++
	}
	is.Equal(count, len(s.Operators)+len(s.Accounts))
}
