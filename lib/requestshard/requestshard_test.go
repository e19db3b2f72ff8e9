package requestshard_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/once"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/requestshard"
	"bronzewinch.dev/lib/timer"

	"github.com/matryer/is"
)

// fakeJournal is a journal and a term, both of which can be made to fail.
type fakeJournal struct {
	mu                  sync.Mutex
	items               [][]byte
	errBefore, errAfter error // returned by Append without storing the items, and after storing them
	onAppend            func()
	termErr             error // returned by Check
}

func (j *fakeJournal) Append(_ context.Context, items ...[]byte) (id.Seq, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.onAppend != nil {
		j.onAppend()
	}
	if j.errBefore != nil {
		return 0, j.errBefore
	}
	j.items = append(j.items, items...)
	return id.Seq(len(j.items)), j.errAfter
}

func (j *fakeJournal) Check() error    { return j.termErr }
func (j *fakeJournal) Epoch() id.Epoch { return 1 }

func open(t *testing.T, j *fakeJournal, snapshot []byte) *requestshard.Shard {
	t.Helper()
	s, err := requestshard.Open(requestshard.Config{Journal: j, Term: j, Clock: timer.NewSystem(), Limit: 100,
		Snapshot: snapshot, Items: j.items})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

var (
	fingerprint = once.Fingerprint{7}
	ctx         = context.Background()
	errFenced   = problem.New(problem.Fenced, problem.Detail{Remedy: "read the journal"})
)

// TestTakeover guards against a new owner that allows a second run of a request
// which has run, or may have run, under the previous owner.
func TestTakeover(t *testing.T) {
	is := is.New(t)
	j := &fakeJournal{}
	s := open(t, j, nil)
	for _, key := range []id.Request{"a/done", "a/open", "a/not"} {
		v, err := s.Begin(ctx, key, fingerprint, time.Second)
		is.NoErr(err)
		is.Equal(v.Status, once.Allowed)
	}
	is.NoErr(s.Finish(ctx, "a/done", 1, outcome.Done, "n1"))
	is.NoErr(s.Finish(ctx, "a/not", 1, outcome.NotRun, "n1"))
	snapshot, err := s.Snapshot()
	is.NoErr(err)
	for _, next := range []*requestshard.Shard{open(t, j, nil), open(t, &fakeJournal{}, snapshot)} {
		for key, want := range map[id.Request]once.Status{
			"a/done": once.Done, "a/open": once.MayHaveRun, "a/not": once.Allowed, "a/new": once.Allowed} {
			v, err := next.Begin(ctx, key, fingerprint, time.Second)
			is.NoErr(err)
			is.Equal(v.Status, want)
		}
	}
}

// TestAppendFails guards against a run that is allowed although the append of its
// intent failed, and against a later submission of the same id that is not allowed.
func TestAppendFails(t *testing.T) {
	for name, c := range map[string]struct {
		j    *fakeJournal
		want once.Status
		kind problem.Kind
	}{
		"refused":  {&fakeJournal{errBefore: problem.New(problem.Unavailable, problem.Detail{})}, once.Refused, ""},
		"unknown":  {&fakeJournal{errAfter: problem.New(problem.Unknown, problem.Detail{})}, once.Refused, ""},
		"canceled": {&fakeJournal{errBefore: context.Canceled}, once.Refused, ""},
		"fenced":   {&fakeJournal{errBefore: errFenced}, once.Refused, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := open(t, c.j, nil)
			v, err := s.Begin(ctx, "a/r", fingerprint, time.Second)
			is.Equal(v.Status, c.want)
			is.Equal(problem.KindOf(err), c.kind)
			c.j.errBefore, c.j.errAfter = nil, nil
			v, err = s.Begin(ctx, "a/r", fingerprint, time.Second)
			is.NoErr(err)
			is.Equal(v.Status, once.Allowed)
			is.Equal(v.Run, once.RunNumber(2))
		})
	}
}

// TestLeaseEnds guards against an owner that allows a run or returns a status after
// its lease has expired, when another node may have taken over.
func TestLeaseEnds(t *testing.T) {
	is := is.New(t)
	j := &fakeJournal{}
	s := open(t, j, nil)
	j.onAppend = func() { j.termErr = errFenced } // a pause during the append
	v, err := s.Begin(ctx, "a/r", fingerprint, time.Second)
	is.NoErr(err)
	is.Equal(v.Status, once.Refused) // not allowed, and certainly not run before
	_, err = s.Begin(ctx, "a/r", fingerprint, time.Second)
	is.True(problem.Is(err, problem.NotOwner))
	_, _, err = s.Lookup(ctx, "a/r")
	is.True(problem.Is(err, problem.NotOwner))
	is.True(problem.Is(s.Finish(ctx, "a/r", 1, outcome.Done, "n"), problem.NotOwner))
	next := open(t, &fakeJournal{items: j.items}, nil)
	v, err = next.Begin(ctx, "a/r", fingerprint, time.Second)
	is.NoErr(err)
	is.Equal(v.Status, once.MayHaveRun) // the intent was written
}

// FuzzDecodeItem guards against journal content that makes the decoder panic, and
// against an item that changes when it is encoded again.
func FuzzDecodeItem(f *testing.F) {
	at := time.UnixMilli(1764800000000)
	for _, item := range []once.Item{
		{Kind: once.Intent, ID: "a/r", Run: 1, At: at, Fingerprint: once.Fingerprint{1}},
		{Kind: once.Completion, ID: "a/r", Run: 1, At: at, Outcome: outcome.Done, Node: "n1"},
	} {
		b, err := requestshard.EncodeItem(item)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte{0xa1, 0x67})
	f.Fuzz(func(t *testing.T, b []byte) {
		item, err := requestshard.DecodeItem(b)
		if err != nil {
			return
		}
		again, err := requestshard.EncodeItem(item)
		if err != nil {
			t.Fatal(err)
		}
		back, err := requestshard.DecodeItem(again)
		if err != nil || back != item {
			t.Fatalf("%v became %v (%v)", item, back, err)
		}
	})
}
