package record_test

import (
	"fmt"
	"maps"
	"testing"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestAtRevisionReturnsSetInForce guards against a wrong reconstruction of an
// earlier set, with which the audit would check decisions against a
// configuration that was never in force. It applies random changes, some of
// which write records with unchanged text and without a base revision.
func TestAtRevisionReturnsSetInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := record.Change{ID: "first", Author: "alice"}
		hash := func(n int) string { return fmt.Sprintf("%064x", n) }
		put := func(c *record.Change, text string, base id.Revision) {
			r, err := record.Parse(text)
			if err != nil {
				t.Fatal(err)
			}
			c.Put(r.WithBaseRevision(base))
		}
		put(&first, fmt.Sprintf("schema = \"v1\"\nkind = \"operator\"\nname = \"alice\"\ntokens = [%q]\n", hash(9)), 0)
		s, err := record.NewSet().With(first, 1)
		if err != nil {
			t.Fatal(err)
		}
		sets := []*record.Set{s}
		for n := range rapid.IntRange(1, 40).Draw(t, "changes") {
			c := record.Change{ID: record.ChangeID(fmt.Sprint("c", n)), Author: "alice"}
			for a := range 3 {
				name := fmt.Sprint("a", a)
				key := record.Key{Kind: record.KindAccount, Name: name}
				w, getErr := s.Get(key)
				switch rapid.IntRange(0, 3).Draw(t, "what") {
				case 0:
					weight := rapid.IntRange(1, 3).Draw(t, "weight")
					put(&c, fmt.Sprintf("schema = \"v2\"\nkind = \"account\"\nname = %q\nweight = %d\n[[tokens]]\nsha256 = %q\n", name, weight, hash(a)), w.Revision)
				case 1:
					if getErr == nil {
						put(&c, w.Record.Text(), 0) // unchanged, without a base revision
					}
				case 2:
					if getErr == nil {
						c.Remove(key, w.Revision)
					}
				}
			}
			if next, err := s.With(c, s.Revision+1); err == nil {
				s = next
				sets = append(sets, s)
			}
		}
		for _, want := range sets {
			got, err := s.AtRevision(want.Revision)
			if err != nil {
				t.Fatalf("revision %d: %v", want.Revision, err)
			}
			if !maps.EqualFunc(got.Accounts, want.Accounts, func(a, b record.Account) bool { return fmt.Sprint(a) == fmt.Sprint(b) }) {
				t.Fatalf("revision %d of %d: %v, want %v", want.Revision, s.Revision, got.Accounts, want.Accounts)
			}
		}
		if _, err := s.AtRevision(s.Revision + 1); !problem.Is(err, problem.NotFound) {
			t.Fatal(err)
		}
	})
}

// TestAtRevisionWithoutHistory guards against a wrong set when the history does
// not contain the changes that are needed to reconstruct it.
func TestAtRevisionWithoutHistory(t *testing.T) {
	is := is.New(t)
	s := record.NewSet()
	s.Revision = 5
	_, err := s.AtRevision(4)
	is.True(problem.Is(err, problem.NotFound))
}
