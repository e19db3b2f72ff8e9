package vmlist_test

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/vmlist"
	server "bronzewinch.dev/standin/vmlist"

	"github.com/matryer/is"
)

// TestListLag guards against a stand-in that shows changes before the lag has
// passed, and against a client that reports an outage as an empty list.
func TestListLag(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(0, 0))
	s := server.New(server.Config{Timer: clock, Lag: 5 * time.Second})
	web := httptest.NewServer(s)
	defer web.Close()
	client := vmlist.New(vmlist.Config{URL: web.URL, Timeout: time.Minute})

	s.Set(vmlist.VM{Name: "n1", Role: vmlist.Entry, State: vmlist.Live})
	list, err := client.Read(t.Context())
	is.NoErr(err)
	is.Equal(len(list.VMs), 0)
	clock.Advance(5 * time.Second)
	list, err = client.Read(t.Context())
	is.NoErr(err)
	is.Equal(len(list.VMs), 1)
	s.SetDown(true)
	_, err = client.Read(t.Context())
	is.True(problem.Is(err, problem.Unavailable))
	is.Equal(s.Reads(), 3)
}

// TestUnchangedListIsNotSentAgain guards against a client that transfers the whole
// list on every poll, once a second for each node, and against a cached list that
// hides a change.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	s := server.New(server.Config{Timer: timer.NewManual(time.Unix(0, 0))})
	var statuses []int
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := httptest.NewRecorder()
		s.ServeHTTP(response, r)
		statuses = append(statuses, response.Code)
		maps.Copy(w.Header(), response.Header())
		w.WriteHeader(response.Code)
		_, _ = w.Write(response.Body.Bytes())
	}))
	defer web.Close()
	client := vmlist.New(vmlist.Config{URL: web.URL, Timeout: time.Minute})
	for _, name := range []string{"n1", "", "n2", ""} {
		if name != "" {
			s.Set(vmlist.VM{Name: name, Role: vmlist.Entry, State: vmlist.Live})
		}
		list, err := client.Read(t.Context())
		is.NoErr(err)
		is.Equal(list.VMs[0].Name, "n1")
		is.Equal(len(list.VMs), 1+len(statuses)/3)
	}
	is.Equal(statuses, []int{200, 304, 200, 304})
}
