package coordination

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/journal"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/standin/kvservice"
)

var (
	ctx   = context.Background()
	seed  = flag.Uint64("seed", 0, "run only this seed of the fault schedules")
	seeds = flag.Uint64("seeds", 300, "number of seeds of the fault schedules")
)

// eachSeed runs a schedule for each seed from 1 to the flag seeds, or only for the
// flag seed if it is set. It stops after a failure.
func eachSeed(t *testing.T, run func(t *testing.T, seed uint64)) {
	if *seed != 0 {
		run(t, *seed)
		return
	}
	for s := uint64(1); s <= *seeds && !t.Failed(); s++ {
		run(t, s)
	}
}

// appendResult is the result of an append, as the caller received it.
type appendResult int

const (
	resultUnknown appendResult = iota
	resultStored
	resultNotStored
)

// committedItems replays all changes of the service and returns the items of the
// journal in order. It checks that each entry number was written once and without
// gaps, and that no entry has a lower epoch than an earlier one.
func committedItems(t *testing.T, s *kvservice.Service, prefix string) []string {
	t.Helper()
	events, _, err := s.LocalClient("checker").Watch(ctx, prefix+"/", 1)
	if err != nil {
		t.Fatal(err)
	}
	var items []string
	var last id.Seq
	var epoch id.Epoch
	for _, e := range events {
		if e.Deleted || !strings.HasPrefix(e.Key, journal.LogPrefix(prefix)) {
			continue
		}
		entry, err := journal.Decode(prefix, e.Item)
		if err != nil {
			t.Fatal(err)
		}
		if entry.Seq <= last {
			// After an entry was deleted, its number can be written again. The
			// write is harmless only if the snapshot covers that number.
			if snapshotCovers(events, prefix, e.Version) < entry.Seq {
				t.Fatalf("number %d was written twice", entry.Seq)
			}
			continue
		}
		if entry.Seq != last+1 || entry.Epoch < epoch || (entry.Epoch > epoch) != entry.Takeover {
			t.Fatalf("entry %d of epoch %d follows entry %d of epoch %d", entry.Seq, entry.Epoch, last, epoch)
		}
		last, epoch = entry.Seq, entry.Epoch
		for _, item := range entry.Items {
			items = append(items, string(item))
		}
	}
	return items
}

// snapshotCovers returns the number of the last entry that the snapshot covered
// before a version.
func snapshotCovers(events []kv.Event, prefix string, at kv.Version) id.Seq {
	var covered id.Seq
	for _, e := range events {
		if e.Key == journal.SnapshotKey(prefix) && e.Version < at {
			covered = max(covered, journal.SnapshotSeq(e.Item))
		}
	}
	return covered
}

// checkResults compares the results that callers received with the committed items.
func checkResults(t *testing.T, items []string, results map[string]appendResult) {
	t.Helper()
	count := make(map[string]int)
	for _, item := range items {
		count[item]++
	}
	for item, n := range count {
		if n > 1 {
			t.Fatalf("item %s is in the journal %d times", item, n)
		}
	}
	for item, result := range results {
		if result == resultStored && count[item] != 1 {
			t.Fatalf("item %s was reported as stored and is not in the journal", item)
		}
		if result == resultNotStored && count[item] != 0 {
			t.Fatalf("item %s was reported as not stored and is in the journal", item)
		}
	}
}

// checkRead compares the journal as a reader sees it with the committed items.
func checkRead(t *testing.T, store journal.Store, prefix string, want []string) {
	t.Helper()
	snapshot, entries, err := journal.Read(ctx, store, prefix)
	if err != nil {
		t.Fatal(err)
	}
	got := strings.Fields(string(snapshot))
	for _, e := range entries {
		for _, item := range e.Items {
			got = append(got, string(item))
		}
	}
	if strings.Join(got, " ") != strings.Join(want, " ") {
		t.Fatalf("a reader sees\n%v, want\n%v", got, want)
	}
}

func itemName(node string, n int) string { return fmt.Sprintf("%s-%s", node, strconv.Itoa(n)) }
