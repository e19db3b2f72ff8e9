package record

import (
	"fmt"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/unit"
)

// MaxTokens is the maximum number of tokens of one operator or account. More
// than one is needed to rotate tokens without an interruption, and a few are
// enough for that.
const MaxTokens = 8

// OperatorV1 is an operator in schema v1.
type OperatorV1 struct {
	Header
	Tokens []TokenHash `toml:"tokens" secret:"true"`
}

// TokenV2 is the hash of a token in schema v2.
type TokenV2 struct {
	SHA256 TokenHash `toml:"sha256" secret:"true"`
	Note   string    `toml:"note,omitempty"`
}

// OperatorV2 is an operator in schema v2.
type OperatorV2 struct {
	HeaderV2
	Tokens []TokenV2 `toml:"tokens" secret:"true"`
}

func (o *OperatorV1) check(r *report) { checkTokens(r, o.Tokens) }
func (o *OperatorV2) check(r *report) { checkTokens(r, tokenHashes(o.Tokens)) }

func checkTokens(r *report, tokens []TokenHash) {
	if len(tokens) < 1 || len(tokens) > MaxTokens {
		r.add("tokens", fmt.Sprint(len(tokens), " tokens"), "1 to 8 tokens", "give the SHA-256 hash of each token")
	}
	seen := make(map[TokenHash]bool)
	for i, h := range tokens {
		if h == "" || seen[h] {
			r.add(fmt.Sprintf("tokens[%d]", i), "", "a hash, without duplicates", "remove the entry or give its hash")
		}
		seen[h] = true
	}
}

func tokenHashes(tokens []TokenV2) []TokenHash {
	list := make([]TokenHash, len(tokens))
	for i, t := range tokens {
		list[i] = t.SHA256
	}
	return list
}

func tokensToV2(tokens []TokenHash) []TokenV2 {
	list := make([]TokenV2, len(tokens))
	for i, h := range tokens {
		list[i].SHA256 = h
	}
	return list
}

func tokensToV1(r *report, tokens []TokenV2) []TokenHash {
	for i, t := range tokens {
		if t.Note != "" {
			r.addUnsupported(fmt.Sprintf("tokens[%d].note", i), t.Note, "no note")
		}
	}
	return tokenHashes(tokens)
}

func (o *OperatorV1) toV2() bodyV2 { return &OperatorV2{Tokens: tokensToV2(o.Tokens)} }

func (o *OperatorV2) toV1(r *report) bodyV1 { return &OperatorV1{Tokens: tokensToV1(r, o.Tokens)} }

func (o *OperatorV2) addTo(s *Set) {
	s.Operators[id.Operator(o.Name)] = Operator{Name: id.Operator(o.Name), Tokens: tokenHashes(o.Tokens)}
}

func (o *OperatorV2) removeFrom(s *Set) { delete(s.Operators, id.Operator(o.Name)) }

// AccountV1 is a client account in schema v1.
type AccountV1 struct {
	Header
	Tokens            []TokenHash       `toml:"tokens" secret:"true"`
	QuotaAccelerators unit.Accelerators `toml:"quotaAccelerators,omitempty"`
	Weight            int               `toml:"weight,omitempty"`
	RequestsPerSecond float64           `toml:"requestsPerSecond,omitempty"`
	Concurrency       int               `toml:"concurrency,omitempty"`
	GuaranteedSlots   unit.Slots        `toml:"guaranteedSlots,omitempty"`
}

// QuotaV2 limits the resources of the opportunistic jobs of an account.
type QuotaV2 struct {
	Accelerators unit.Accelerators `toml:"accelerators,omitempty"`
}

// RequestsV2 limits the requests of an account to services, and guarantees a
// number of backend slots.
type RequestsV2 struct {
	PerSecond       float64    `toml:"perSecond,omitempty"`
	Concurrency     int        `toml:"concurrency,omitempty"`
	GuaranteedSlots unit.Slots `toml:"guaranteedSlots,omitempty"`
}

// AccountV2 is a client account in schema v2.
type AccountV2 struct {
	HeaderV2
	Weight   int        `toml:"weight,omitempty"`
	Quota    QuotaV2    `toml:"quota,omitempty"`
	Requests RequestsV2 `toml:"requests,omitempty"`
	Tokens   []TokenV2  `toml:"tokens" secret:"true"`
}

// Limits of an account.
const (
	MaxWeight            = 1000
	maxQuotaAccelerators = 1_000_000
	maxRequests          = 1_000_000
)

func (a *AccountV1) check(r *report) {
	checkTokens(r, a.Tokens)
	checkRange(r, "quotaAccelerators", a.QuotaAccelerators, 0, maxQuotaAccelerators)
	checkRange(r, "weight", a.Weight, 0, MaxWeight)
	checkRange(r, "requestsPerSecond", a.RequestsPerSecond, 0, maxRequests)
	checkRange(r, "concurrency", a.Concurrency, 0, maxRequests)
	checkRange(r, "guaranteedSlots", a.GuaranteedSlots, 0, maxRequests)
}

func (a *AccountV2) check(r *report) {
	checkTokens(r, tokenHashes(a.Tokens))
	checkRange(r, "quota.accelerators", a.Quota.Accelerators, 0, maxQuotaAccelerators)
	checkRange(r, "weight", a.Weight, 0, MaxWeight)
	checkRange(r, "requests.perSecond", a.Requests.PerSecond, 0, maxRequests)
	checkRange(r, "requests.concurrency", a.Requests.Concurrency, 0, maxRequests)
	checkRange(r, "requests.guaranteedSlots", a.Requests.GuaranteedSlots, 0, maxRequests)
}

func (a *AccountV1) toV2() bodyV2 {
	return &AccountV2{Tokens: tokensToV2(a.Tokens), Weight: a.Weight, Quota: QuotaV2{a.QuotaAccelerators},
		Requests: RequestsV2{a.RequestsPerSecond, a.Concurrency, a.GuaranteedSlots}}
}

func (a *AccountV2) toV1(r *report) bodyV1 {
	return &AccountV1{Tokens: tokensToV1(r, a.Tokens), QuotaAccelerators: a.Quota.Accelerators, Weight: a.Weight,
		RequestsPerSecond: a.Requests.PerSecond, Concurrency: a.Requests.Concurrency, GuaranteedSlots: a.Requests.GuaranteedSlots}
}

func (a *AccountV2) addTo(s *Set) {
	name := id.Account(a.Name)
	s.Accounts[name] = Account{Name: name, Tokens: tokenHashes(a.Tokens), Quota: a.Quota.Accelerators,
		Weight: max(a.Weight, 1), Rate: unit.PerSecond(a.Requests.PerSecond), Concurrency: a.Requests.Concurrency,
		GuaranteedSlots: a.Requests.GuaranteedSlots}
}

func (a *AccountV2) removeFrom(s *Set) { delete(s.Accounts, id.Account(a.Name)) }
