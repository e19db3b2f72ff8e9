package record

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestFormatFileRoundTrip guards against a file from `bronzewinch get` that
// `bronzewinch apply` rejects or parses as different records.
func TestFormatFileRoundTrip(t *testing.T) {
	is := is.New(t)
	records := []Record{mustParse(t, alice).WithBaseRevision(4), mustParse(t, zone), mustParse(t, guarantee)}
	back, err := ParseFile("f", []byte(FormatFile(records)))
	is.NoErr(err)
	is.Equal(len(back), len(records))
	for i, r := range back {
		is.Equal(r.Text(), records[i].Text())
		is.Equal(r.BaseRevision(), records[i].BaseRevision())
	}
}

// TestDiffContainsBothSides guards against a diff that lacks a line or has an
// extra one: both sides must be reconstructible from it.
func TestDiffContainsBothSides(t *testing.T) {
	lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 12)
	rapid.Check(t, func(t *rapid.T) {
		a, b := lines.Draw(t, "a"), lines.Draw(t, "b")
		var gotA, gotB []string
		for _, l := range diffLines(a, b) {
			if l.Mark != "+" {
				gotA = append(gotA, l.Text)
			}
			if l.Mark != "-" {
				gotB = append(gotB, l.Text)
			}
		}
		if strings.Join(gotA, "") != strings.Join(a, "") || strings.Join(gotB, "") != strings.Join(b, "") {
			t.Fatalf("%v and %v became %v and %v", a, b, gotA, gotB)
		}
	})
}

// TestCompareAcrossSchemas guards against a diff of a v1 and a v2 record that
// shows differences of the schema version as changes.
func TestCompareAcrossSchemas(t *testing.T) {
	is := is.New(t)
	old := mustParse(t, guarantee)
	newer, err := old.Convert(V2)
	is.NoErr(err)
	d, err := Compare(&old, &newer)
	is.NoErr(err)
	is.True(!d.Changed())
	d, err = Compare(&old, nil)
	is.NoErr(err)
	is.True(d.Changed())
	noted := mustParse(t, strings.Replace(newer.Text(), "[shape]", "note = \"x\"\n[shape]", 1))
	d, err = Compare(&noted, &old)
	is.NoErr(err)
	is.Equal(d.Schema, V2)
	is.True(d.Changed())
}
