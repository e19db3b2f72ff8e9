package requestbench

import (
	"bytes"
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bronzewinch.dev/standin/backends"

	"github.com/matryer/is"
)

var faultRequests = flag.Int("fault-requests", 4000, "number of requests of the fault run")

// TestFaultRun guards against lost requests, at-most-once requests that run
// twice, responses to another request and wrong outcomes, while backend servers,
// entry nodes, owners of request shards and their journals fail.
func TestFaultRun(t *testing.T) {
	is := is.New(t)
	r, err := runFaults(faultConfig{requests: *faultRequests, backends: 20, nodes: 4, workers: 32})
	is.NoErr(err)
	t.Log(r)
	is.Equal(r.Lost, int64(0))
	is.Equal(r.RunTwice, int64(0))
	is.Equal(r.WrongResponses, int64(0))
	is.Equal(r.WrongOutcomes, int64(0))
	is.True(r.PeakRunning <= slots)
	is.True(r.PeakConns <= connections)
	is.True(r.Done > 0 && r.Runs > 0)
}

// TestSlotsOfEightNodes guards against entry nodes that together exceed the slots
// or connections of a backend server when the load is far above the capacity. If
// each node uses only its share of the slots, the servers must not reject any
// request. If nodes borrow slots of each other, rejections may use up to a tenth
// of the retry budget, which is 10% of the requests, and no request may fail.
func TestSlotsOfEightNodes(t *testing.T) {
	t.Run("within shares", func(t *testing.T) { slotsOfEightNodes(t, true, 0) })
	t.Run("with borrowed slots", func(t *testing.T) { slotsOfEightNodes(t, false, 40) })
}

func slotsOfEightNodes(t *testing.T, hideLoad bool, maxRejected int) {
	is := is.New(t)
	const count = 8
	servers, list, err := newBackends(6, func() time.Duration { return 2 * time.Millisecond }, false)
	is.NoErr(err)
	hideLoads(servers, hideLoad)
	m := newMembers(count)
	var urls []string
	for i := range count {
		e, err := newEntryNode(entryNodeConfig{name: "n", configSource: fixedConfig{configuration(list, 0)}, positionSource: memberPosition{m, i},
			backends: m, deduplicator: newOwners(nil)})
		is.NoErr(err)
		defer e.kill()
		urls = append(urls, e.url+"/v1/services/"+serviceName+"/x")
	}
	client := newClient(400)
	var done, next atomic.Int64
	var wait sync.WaitGroup
	for range 200 {
		wait.Go(func() {
			for n := next.Add(1); n <= 4000; n = next.Add(1) {
				r, err := http.NewRequest(http.MethodPost, urls[n%count], strings.NewReader("x"))
				if err != nil {
					t.Error(err)
					return
				}
				r.Header.Set("Authorization", "Bearer "+accountOther)
				if _, _, status := send(client, r); status == http.StatusOK {
					done.Add(1)
				}
			}
		})
	}
	wait.Wait()
	is.Equal(done.Load(), int64(4000))
	rejected := 0
	for _, s := range servers {
		stats := s.Stats()
		rejected += stats.Rejected
		is.True(stats.Peak <= slots)
		is.Equal(stats.RejectedConnections, 0)
		is.True(stats.ConnectionPeak <= connections)
		s.Close()
	}
	t.Logf("%d requests rejected as busy", rejected)
	is.True(rejected <= maxRejected)
}

func hideLoads(servers []*backends.Server, hideLoad bool) {
	for _, s := range servers {
		if hideLoad {
			s.HideLoad()
		}
	}
}

// TestRefill guards against slots of a failed entry node that the other nodes
// leave unused for more than a second. The servers hide their load, so that the
// other nodes do not borrow these slots earlier.
func TestRefill(t *testing.T) {
	is := is.New(t)
	servers, list, err := newBackends(8, func() time.Duration { return 200 * time.Millisecond }, false)
	is.NoErr(err)
	hideLoads(servers, true)
	m := newMembers(4)
	var nodes []*entryNode
	var urls []string
	for i := range 4 {
		e, err := newEntryNode(entryNodeConfig{name: "n", configSource: fixedConfig{configuration(list, 0)}, positionSource: memberPosition{m, i},
			backends: m, deduplicator: newOwners(nil)})
		is.NoErr(err)
		nodes = append(nodes, e)
		urls = append(urls, e.url+"/v1/services/"+serviceName+"/x")
	}
	r := &outageReport{}
	// 400 requests a second are 1.25 times the capacity.
	r.measureRefill(load{rate: 200, urls: urls, token: accountOther, deadline: overloadDeadline, size: 16,
		client: newClient(1024)}, servers, nodes, m)
	t.Logf("slots in use %.2f before and %.2f after, refilled after %.2f s", r.Before, r.After, r.Refill)
	is.True(r.Refilled && r.Refill <= 1)
	is.True(r.Before <= 0.76) // the slots of three of four nodes
	sum := 0
	for _, e := range nodes[1:] {
		sum += int(e.frontend.Capacity(serviceName))
		e.kill()
	}
	is.Equal(sum, 8*slots)
	for _, s := range servers {
		s.Close()
	}
}

// TestReportIsJSON guards against output besides the JSON report on the standard
// output, which other programs could not parse.
func TestReportIsJSON(t *testing.T) {
	is := is.New(t)
	want := report{Outage: &outageReport{}}
	var out bytes.Buffer
	o := options{json: true}
	is.NoErr(o.write(want, &out))
	var got report
	is.NoErr(json.Unmarshal(out.Bytes(), &got))
	is.Equal(got, want)
	is.Equal(o.progress(), os.Stderr)
	out.Reset()
	is.NoErr(options{}.write(want, &out))
	is.Equal(out.Len(), 0)
}
