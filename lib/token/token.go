// Package token provides a type for bearer tokens that never prints or encodes their
// text, so that tokens don't leak into logs and errors.
package token

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"strings"

	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
)

// Redacted replaces the text of a token in all formats and encodings.
const Redacted = "redacted"

// MinLen and MaxLen bound the length of a token in bytes.
const (
	MinLen = 16
	MaxLen = 256
)

// Token is a bearer token. Every format and encoding yields Redacted; only Reveal
// returns the text.
type Token struct {
	// text is a pointer because package fmt ignores the methods of a value and
	// prints its fields when a verb is invalid, such as %w outside of Errorf. It
	// does not follow pointers within a value.
	text *string
}

// New returns a token with the given text.
func New(text string) Token { return Token{&text} }

// Random returns a token with 256 random bits.
func Random() Token { return New(rand.Text() + rand.Text()) }

// FromRequest returns the bearer token of a request. It is empty when the request
// has no bearer token or one longer than MaxLen.
func FromRequest(r *http.Request) Token {
	scheme, text, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "bearer") || len(text) > MaxLen {
		return Token{}
	}
	return New(text)
}

// FromFile reads a token from a file that contains nothing else. Its errors don't
// contain the content of the file.
func FromFile(path string) (Token, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Token{}, problem.New(problem.NotFound, problem.Detail{Field: "tokenFile", Value: path,
			Remedy: "create the file with the token as its only line, readable by you only"})
	}
	text := strings.TrimSpace(string(data))
	if len(text) < MinLen || len(text) > MaxLen || strings.ContainsAny(text, " \t\r\n") {
		return Token{}, problem.New(problem.Invalid, problem.Detail{Field: "tokenFile", Value: path,
			Limit: "one token of 16 to 256 bytes", Remedy: "put the token alone into the file"})
	}
	return New(text), nil
}

// Empty reports whether the token has no text.
func (t Token) Empty() bool { return t.Reveal() == "" }

// Reveal returns the text. Call it only to send the token.
func (t Token) Reveal() string {
	if t.text == nil {
		return ""
	}
	return *t.text
}

// Hash returns the SHA-256 hash in the form that configuration records store.
func (t Token) Hash() record.TokenHash {
	sum := sha256.Sum256([]byte(t.Reveal()))
	return record.TokenHash(hex.EncodeToString(sum[:]))
}

// Matches reports whether the token is not empty and its hash is one of hashes. It
// compares in constant time, so that its duration does not reveal how far a hash
// matches.
func (t Token) Matches(hashes []record.TokenHash) bool {
	hash := []byte(t.Hash())
	found := 0
	for _, h := range hashes {
		found |= subtle.ConstantTimeCompare(hash, []byte(h))
	}
	return found == 1 && !t.Empty()
}

func (t Token) String() string { return Redacted }

func (t Token) GoString() string { return Redacted }

// Format writes Redacted for every verb. Without it, a verb for numbers would print
// the field text.
func (t Token) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(Redacted)) }

func (t Token) MarshalText() ([]byte, error) { return []byte(Redacted), nil }

func (t Token) MarshalBinary() ([]byte, error) { return []byte(Redacted), nil }

// UnmarshalText reads a token from a settings file.
func (t *Token) UnmarshalText(text []byte) error {
	if len(text) < MinLen || len(text) > MaxLen {
		return problem.New(problem.Invalid, problem.Detail{Limit: "16 to 256 bytes", Remedy: "correct the token"})
	}
	*t = New(string(text))
	return nil
}
