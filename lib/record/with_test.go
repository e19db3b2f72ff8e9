package record

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/tomlfile"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func hash(n int) string { return fmt.Sprintf("%064x", n) }

var (
	alice     = fmt.Sprintf("schema = \"v1\"\nkind = \"operator\"\nname = \"alice\"\ntokens = [%q]\n", hash(1))
	account   = fmt.Sprintf("schema = \"v1\"\nkind = \"account\"\nname = \"skymap\"\ntokens = [%q]\n", hash(2))
	zone      = "schema = \"v2\"\nkind = \"zone\"\nname = \"entoto\"\nregion = \"shewa\"\n[[racks]]\nname = \"r1\"\nperWorker = {accelerators = 8, cores = 32, memory = \"128GiB\"}\nworkers = [{name = \"w1\", address = \"127.0.0.1:1\"}]\n"
	guarantee = "schema = \"v1\"\nkind = \"guarantee\"\nname = \"nightly\"\naccount = \"skymap\"\ncount = 1\nzone = \"entoto\"\nworkers = 1\nacceleratorsPerWorker = 8\ncoresPerWorker = 16\nmemoryGB = 64\nnear = \"rack\"\n"
)

func mustParse(t *testing.T, text string) Record {
	t.Helper()
	r, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func newChange(t *testing.T, name ChangeID, texts ...string) Change {
	t.Helper()
	c := Change{ID: name, Author: "alice", At: time.Unix(1, 5)}
	for _, text := range texts {
		c.Put(mustParse(t, text))
	}
	return c
}

func firstSet(t *testing.T) *Set {
	t.Helper()
	s, err := NewSet().With(newChange(t, "c1", guarantee, alice, account, zone), 1)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestWithRejectsInvalidSet guards against a change that puts inconsistent
// records in force. Each case is one inconsistency, which the error must name.
func TestWithRejectsInvalidSet(t *testing.T) {
	without := func(k Key) func(*Change) { return func(c *Change) { c.Remove(k, 1) } }
	put := func(text string) func(*Change) { return func(c *Change) { c.Put(mustParse(t, text)) } }
	spread := strings.Replace(strings.Replace(guarantee, "nightly", "nightly.entoto", 1), "baseRevision", "", 1)
	tests := []struct {
		name     string
		edit     func(*Change)
		kind     problem.Kind
		wantText string
	}{
		{"last operator", without(Key{KindOperator, "", "alice"}), problem.Invalid, "operators"},
		{"account in use", without(Key{KindAccount, "", "skymap"}), problem.Invalid, "guarantee/skymap/nightly account"},
		{"zone in use", without(Key{KindZone, "", "entoto"}), problem.Invalid, "guarantee/skymap/nightly zones"},
		{"absent record", without(Key{KindAccount, "", "nobody"}), problem.Conflict, "account/nobody"},
		{"token of another", put(strings.Replace(account, "skymap", "other", 1)), problem.Invalid, "account/skymap tokens"},
		{"worker of another zone", put(strings.Replace(zone, "entoto", "bole", 1)), problem.Invalid, "zone/entoto worker"},
		{"old base", put(strings.Replace(account, "tokens", "weight = 2\ntokens", 1)), problem.Conflict, "account/skymap"},
		{"job", put("schema = \"v2\"\nkind = \"job\"\nname = \"j\"\naccount = \"skymap\"\ndeclaredRun = \"1h\"\nprogram = \"p\"\n[shape]\nworkers = 1\nlocality = \"rack\"\nperWorker = {cores = 1, memory = \"1GiB\"}\n"), problem.Invalid, "submit"},
		{"shape name taken", func(c *Change) {
			c.Put(mustParse(t, spread))
			c.Put(mustParse(t, strings.Replace(zone, "entoto", "bole", 1)))
			c.Put(mustParse(t, "schema = \"v2\"\nkind = \"guarantee\"\nname = \"nightly\"\nbaseRevision = 1\naccount = \"skymap\"\ncount = 1\nzones = [\"entoto\", \"bole\"]\n[shape]\nworkers = 1\nlocality = \"rack\"\nperWorker = {cores = 1, memory = \"1GiB\"}\n"))
		}, problem.Invalid, "nightly.entoto"},
		{"nothing", func(*Change) {}, problem.Invalid, "items"},
		{"same id", func(c *Change) { c.ID = "c1"; c.Put(mustParse(t, alice)) }, problem.Conflict, "revision 1"},
		{"wrong key", func(c *Change) { c.Put(mustParse(t, alice)); c.Items[0].Key.Name = "bob" }, problem.Invalid, "operator/bob"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newChange(t, "c2")
			tt.edit(&c)
			_, err := firstSet(t).With(c, 2)
			is.Equal(problem.KindOf(err), tt.kind)
			is.True(strings.Contains(err.Error(), tt.wantText))
		})
	}
}

// TestConflictContainsBothVersions guards against a lost change when two
// operators change a record at the same time. The second one gets an error with
// both versions, to see what the first one changed.
func TestConflictContainsBothVersions(t *testing.T) {
	is := is.New(t)
	heavier := strings.Replace(account, "tokens", "weight = 2\nbaseRevision = 1\ntokens", 1)
	lighter := strings.Replace(account, "tokens", "weight = 3\nbaseRevision = 1\ntokens", 1)
	s, err := firstSet(t).With(newChange(t, "c2", heavier, alice), 2)
	is.NoErr(err)
	is.Equal(s.Accounts["skymap"].Weight, 2)
	_, err = s.With(newChange(t, "c3", lighter), 3)
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current, id.Revision(2))
	is.True(strings.Contains(conflict.CurrentText, "weight = 2") && strings.Contains(conflict.Text, "weight = 3"))
	// The record of alice was written with unchanged text, so it keeps its
	// revision.
	w, err := s.Get(Key{KindOperator, "", "alice"})
	is.NoErr(err)
	is.Equal(w.Revision, id.Revision(1))
	_, err = s.With(newChange(t, "c4", alice), 2)
	is.True(problem.Is(err, problem.Conflict)) // a revision is never used twice
}

// TestSetEncodingRoundTrip guards against a snapshot or a journal entry that is
// decoded as a different set or change, and against data of another format or
// truncated data that is accepted.
func TestSetEncodingRoundTrip(t *testing.T) {
	is := is.New(t)
	c := newChange(t, "c1", guarantee, alice, account, zone)
	data, err := c.Encode()
	is.NoErr(err)
	read, err := DecodeChange(data)
	is.NoErr(err)
	is.True(read.At.Equal(c.At))
	is.Equal(read.Items, c.Items)
	s, err := NewSet().With(read, 1)
	is.NoErr(err)
	data, err = s.Encode()
	is.NoErr(err)
	again, err := DecodeSet(data)
	is.NoErr(err)
	is.Equal(again.Guarantees, s.Guarantees)
	is.Equal(again.Zones, s.Zones)
	is.Equal(again.Accounts, s.Accounts)
	is.Equal(again.History()[0].Items, s.History()[0].Items)
	next, err := again.With(Change{ID: "c2", Author: "alice", Items: []Item{{Key: Key{KindGuarantee, "skymap", "nightly"}, Base: 1}}}, 2)
	is.NoErr(err)
	is.Equal(len(next.Guarantees), 0)
	is.Equal(len(again.Guarantees), 1) // the earlier set is unchanged
	future, err := encode(changeFormat+1, c)
	is.NoErr(err)
	_, err = DecodeChange(future)
	is.True(strings.Contains(err.Error(), "upgrade"))
	_, err = DecodeSet(data[:len(data)-3])
	is.True(problem.Is(err, problem.Invalid))
}

// TestHistoryIsBounded guards against a snapshot that exceeds the maximum value
// size of the key-value service.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	var h changeHistory
	for i := range 3 * MaxHistoryChanges {
		h = h.with(AcceptedChange{Revision: id.Revision(i + 1), Items: []Item{{Text: strings.Repeat("x", 1000)}}})
	}
	is.Equal(len(h), MaxHistoryChanges)
	size := 0
	for _, p := range h {
		size += p.size()
	}
	is.True(size <= MaxHistorySize)
	is.Equal(h[len(h)-1].Revision, id.Revision(3*MaxHistoryChanges))
	is.Equal(len(h[len(h)-1].Items), 1)
}

// TestFileReportsEveryMistake guards against a parser that reports only the
// first mistake, so that the operator has to run the command once for each, and
// against an error that contains a token.
func TestFileReportsEveryMistake(t *testing.T) {
	is := is.New(t)
	_, err := ParseFile("a.toml", []byte(`[[record]]
schema = "v1"
kind = "operator"
name = "Alice"
tokens = ["my-secret-token"]
[[record]]
schema = "v3"
kind = "acount"
[[record]]
schema = "v2"
kind = "guarantee"
name = "nightly"
account = "skymap"
count = 0
[record.shape]
workers = 65
locality = "row"
perworker = 1
[record.shape.perWorker]
cores = 1
memory = "128GB"
`))
	var m tomlfile.Mistakes
	is.True(errors.As(err, &m))
	lines := make(map[int]int)
	for _, one := range m {
		lines[one.Line]++
	}
	is.Equal(lines, map[int]int{4: 1, 5: 1, 7: 1, 8: 1, 14: 1, 16: 1, 17: 1, 18: 1, 21: 1})
	is.True(!strings.Contains(err.Error(), "my-secret-token"))
	is.True(strings.HasPrefix(err.Error(), `a.toml:`))
}
