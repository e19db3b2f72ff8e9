package token_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/token"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"
)

const text = "example-token-never-printed"

// TestTokenIsNeverPrinted guards against tokens that leak into a log, an error or an
// encoded message.
func TestTokenIsNeverPrinted(t *testing.T) {
	is := is.New(t)
	wrapped := struct{ T token.Token }{token.New(text)}
	pointer := &wrapped
	var out []string
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%X", "%d", "%t", "%e", "%c", "%U", "%10s", "%w"} {
		out = append(out, fmt.Sprintf(verb, wrapped), fmt.Sprintf(verb, wrapped.T), fmt.Sprintf(verb, pointer), fmt.Sprintf(verb, &wrapped.T))
	}
	err := errors.Wrapf(errors.Newf("token %v", wrapped.T), "with %+v", wrapped)
	out = append(out, err.Error(), fmt.Sprintf("%+v", err))
	for _, marshal := range []func(any) ([]byte, error){json.Marshal, toml.Marshal, cbor.Marshal} {
		data, err := marshal(wrapped)
		is.NoErr(err)
		out = append(out, string(data))
	}
	for _, s := range out {
		is.True(!strings.Contains(s, "never"))                     // as plain text
		is.True(!strings.Contains(s, fmt.Sprintf("%x", "never")))  // in hexadecimal
		is.True(!strings.Contains(s, fmt.Sprint([]byte("never")))) // as decimal numbers
	}
	is.Equal(fmt.Sprint(wrapped.T), token.Redacted)
}

// TestMatches guards against callers that are authenticated with an empty token, or
// with the hash of a token instead of the token.
func TestMatches(t *testing.T) {
	is := is.New(t)
	one := token.New(text)
	other := token.Random()
	is.True(one.Matches([]record.TokenHash{other.Hash(), one.Hash()}))
	is.True(!one.Matches([]record.TokenHash{other.Hash()}))
	is.True(!one.Matches(nil))
	is.True(!token.New(string(one.Hash())).Matches([]record.TokenHash{one.Hash()}))
	is.True(!token.Token{}.Matches([]record.TokenHash{token.Token{}.Hash(), ""}))
	r := &http.Request{Header: http.Header{"Authorization": {"Basic " + text}}}
	is.True(token.FromRequest(r).Empty())
	r.Header.Set("Authorization", "bearer "+text)
	is.Equal(token.FromRequest(r).Reveal(), text)
}

// TestFromFile guards against errors that contain the content of an invalid
// file.
func TestFromFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(path, []byte(text+"\n"), 0o600))
	got, err := token.FromFile(path)
	is.NoErr(err)
	is.Equal(got.Reveal(), text)
	is.NoErr(os.WriteFile(path, []byte(text+" and more"), 0o600))
	_, err = token.FromFile(path)
	is.True(err != nil && !strings.Contains(err.Error(), text))
	_, err = token.FromFile(path + ".none")
	is.True(err != nil)
}
