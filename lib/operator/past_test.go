package operator_test

import (
	"net/http"
	"testing"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/record"

	"github.com/matryer/is"
)

// TestRecordsAtRevision guards against a request for the records of an earlier
// revision, as an audit sends it, that returns the current ones.
func TestRecordsAtRevision(t *testing.T) {
	is := is.New(t)
	f := newFake(t)
	frontend := f.frontend()
	c := record.Change{ID: "c2", Author: "alice"}
	r, err := record.Parse(accountText("late", yardToken, ""))
	is.NoErr(err)
	c.Remove(record.Key{Kind: record.KindAccount, Name: "yard"}, 1)
	c.Put(r)
	f.set, err = f.set.With(c, 2)
	is.NoErr(err)
	past := decodeResponse[operator.Records](t, send(frontend, aliceToken, http.MethodGet, "/v1/records?revision=1&kind=account", nil))
	is.Equal(len(past.Records), 2)
	is.Equal(past.Records[1].Record, "account/yard")
	is.Equal(past.Records[1].Revision, record.AcceptedRecord{Revision: 1}.Revision)
	is.Equal(send(frontend, aliceToken, http.MethodGet, "/v1/records?revision=3", nil).Code, http.StatusNotFound)
}

// TestLogPagesWithinVersion guards against records that can't be read because a
// version has more records than fit into a page.
func TestLogPagesWithinVersion(t *testing.T) {
	is := is.New(t)
	f := newFake(t)
	f.decisions = []decision.Record{{Job: "a", Version: 1}, {Job: "b", Version: 1}, {Job: "c", Version: 1}}
	got := decodeResponse[operator.Decisions](t, send(f.frontend(), aliceToken, http.MethodGet, "/v1/zones/z/decisions?skip=1&limit=1", nil))
	is.Equal(len(got.Decisions), 1)
	is.Equal(string(got.Decisions[0].Job), "b")
	is.Equal(send(f.frontend(), aliceToken, http.MethodGet, "/v1/zones/z/decisions?skip=100001", nil).Code, http.StatusBadRequest)
}
