package record

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestFormatFileRoundTrip guards against a file written by get that apply
// refuses or reads as something else.
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

// TestDiffContainsBothSides guards against a diff that hides or invents a
// line.
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

// TestCompareAcrossSchemas guards against a diff full of differences that
// only the schema version makes.
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
