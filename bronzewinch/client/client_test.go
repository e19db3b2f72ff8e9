package client_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bronzewinch.dev/bronzewinch/client"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/token"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func startServer(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// TestClient guards against a lost response that is reported as a certain
// failure, an error that loses its kind, and a token that is sent along with a
// redirect.
func TestClient(t *testing.T) {
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	var redirected atomic.Int32
	redirectTarget := startServer(t, func(http.ResponseWriter, *http.Request) { redirected.Add(1) })
	closed := httptest.NewServer(nil)
	closed.Close()
	tests := []struct {
		name   string
		first  string
		second http.HandlerFunc
		kind   problem.Kind
	}{
		{"first is down", closed.URL, respond(200, `{"revision":4}`), ""},
		{"first drops the answer", startServer(t, abortConnection), respond(200, `{"revision":4}`), ""},
		{"no answer at all", startServer(t, abortConnection), abortConnection, problem.Unknown},
		{"lost, then refused for now", startServer(t, abortConnection), respond(503, `{"problem":{"kind":"unavailable","remedy":"wait"}}`), problem.Unknown},
		{"never reached", closed.URL, respond(503, `{"problem":{"kind":"unavailable","remedy":"wait"}}`), problem.Unavailable},
		{"invalid", closed.URL, respond(400, `{"problem":{"kind":"invalid","remedy":"x"},"mistakes":[{"line":3,"remedy":"y"}]}`), problem.Invalid},
		{"not a node", closed.URL, respond(404, `<html>`), problem.Internal},
		{"redirect", closed.URL, func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, redirectTarget, http.StatusTemporaryRedirect)
		}, problem.Internal},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			secret := token.New("example-token-client")
			c, err := client.New(client.Config{Addresses: []string{tt.first, startServer(t, tt.second)}, Token: secret, Timeout: 5 * time.Second,
				Rounds: 1, Clock: timer.NewSystem()})
			is.NoErr(err)
			got, err := client.Post[operator.ChangeResult](context.Background(), c, "/v1/changes", operator.ChangeRequest{})
			is.Equal(problem.KindOf(err), tt.kind)
			if err == nil {
				is.Equal(got.Revision, record.AcceptedRecord{Revision: 4}.Revision)
			} else {
				is.True(!strings.Contains(err.Error(), secret.Reveal()))
			}
		})
	}
	is.New(t).Equal(redirected.Load(), int32(0))
}

// TestConflictHasBothVersions guards against a conflict error that contains only
// one of the two versions.
func TestConflictHasBothVersions(t *testing.T) {
	is := is.New(t)
	url := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"problem":{"kind":"conflict","remedy":"x"},"conflict":{"key":{"kind":"account","name":"a"},"base":1,"current":2,"currentText":"old","text":"new"}}`))
	})
	c, err := client.New(client.Config{Addresses: []string{url}, Clock: timer.NewSystem()})
	is.NoErr(err)
	_, err = client.Get[operator.Nodes](context.Background(), c, "/v1/nodes")
	var conflict *record.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.CurrentText+conflict.Text, "oldnew")
	is.True(problem.Is(err, problem.Conflict))
	_, err = client.New(client.Config{CA: "absent.pem"})
	is.True(problem.Is(err, problem.Invalid))
}
