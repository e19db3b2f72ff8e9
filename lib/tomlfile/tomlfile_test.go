package tomlfile_test

import (
	"strings"
	"testing"

	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/tomlfile"

	"github.com/matryer/is"
)

type inner struct {
	Count int      `toml:"count"`
	Names []string `toml:"names"`
}

type outer struct {
	Name  string  `toml:"name"`
	Rate  float64 `toml:"rate"`
	Items []inner `toml:"item"`
	Token string  `toml:"token" secret:"true"`
	Sub   inner   `toml:"sub"`
}

// TestReportsEveryMistakeWithItsLine guards against decoding that stops at the first
// mistake, reports a wrong line, or reveals a secret.
func TestReportsEveryMistakeWithItsLine(t *testing.T) {
	is := is.New(t)
	tree, err := tomlfile.Parse([]byte(`name = 3
rate = 2
token = 12345
extra = "s3cret"
sub = { count = "x", names = [
  "a",
  4,
] }
[[item]]
count = 1
[[item]]
# A comment must not shift the line numbers.
count = 1.5
Names = []
`))
	is.NoErr(err)
	var target outer
	var mistakes tomlfile.Mistakes
	tree.Root().Fill(&target, &mistakes)
	is.Equal(target.Rate, 2.0)
	is.Equal(target.Items[0].Count, 1)
	got := make(map[string]int)
	for _, mistake := range mistakes {
		got[mistake.Field] = mistake.Line
	}
	is.Equal(got, map[string]int{"name": 1, "token": 3, "extra": 4, "sub.count": 5, "sub.names[1]": 7,
		"item[1].count": 13, "item[1].Names": 14})
	is.True(problem.Is(mistakes, problem.Invalid))
	is.True(!strings.Contains(mistakes.Error(), "12345") && !strings.Contains(mistakes.Error(), "s3cret"))
	is.True(strings.Contains(mistakes.Error(), `to "names"`))
}

// TestSyntaxErrorHidesSource guards against a syntax error that quotes a token from
// the file.
func TestSyntaxErrorHidesSource(t *testing.T) {
	is := is.New(t)
	_, err := tomlfile.Parse([]byte("a = 1\ntoken = s3cret-text\n"))
	is.True(problem.Is(err, problem.Invalid))
	is.True(strings.HasPrefix(err.Error(), "2: "))
	is.True(!strings.Contains(err.Error(), "s3cret"))
	_, err = tomlfile.Parse(make([]byte, tomlfile.MaxSize+1))
	is.True(problem.Is(err, problem.Invalid))
}

// TestSuggestions guards against a misspelt field name that is reported without a
// suggestion, and against suggestions for names that resemble no known field.
func TestSuggestions(t *testing.T) {
	for name, suggested := range map[string]string{"nmae": "name", "rat": "rate", "tokens": "token", "colour": "", "x": ""} {
		is := is.New(t)
		tree, err := tomlfile.Parse([]byte(name + " = 1\n"))
		is.NoErr(err)
		var target outer
		var mistakes tomlfile.Mistakes
		tree.Root().Fill(&target, &mistakes)
		is.Equal(len(mistakes), 1)
		is.Equal(strings.Contains(mistakes.Error(), " to \""), suggested != "")
		is.True(strings.Contains(mistakes.Error(), suggested))
	}
}
