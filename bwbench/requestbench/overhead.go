package requestbench

import (
	"fmt"
	"sync"
	"time"

	"bronzewinch.dev/lib/unit"
)

// overheadRow holds the measurements of one path to the backend servers at half
// load.
type overheadRow struct {
	Path string `json:"way"`
	*sample
	// CPU is the processor time of the forwarding process per request.
	CPU float64 `json:"cpuMicrosecondsPerRequest"`
}

// overhead measures direct calls, a minimal forwarder and an entry node, each
// with a third of half the capacity. They are measured at the same time, so that
// other load on the machine affects all of them equally.
func (o options) overhead() ([]overheadRow, error) {
	servers, err := startProcess(childConfig{Role: roleBackends, Count: o.backends, ServiceTime: o.service, FixedServiceTime: true})
	if err != nil {
		return nil, err
	}
	defer servers.stop()
	forwarder, err := startProcess(childConfig{Role: roleForwarder, Backends: servers.addresses})
	if err != nil {
		return nil, err
	}
	defer forwarder.stop()
	node, err := startProcess(childConfig{Role: roleEntry, Backends: servers.addresses, Position: fixedPosition{Count: 1}})
	if err != nil {
		return nil, err
	}
	defer node.stop()
	var direct []string
	for _, b := range servers.addresses {
		direct = append(direct, "http://"+b.Address+"/x")
	}
	paths := []struct {
		name string
		urls []string
		via  *process
	}{
		{"direct", direct, nil},
		{"forwarder", []string{"http://" + forwarder.addresses[0].Address + "/x"}, forwarder},
		{"entry node", []string{serviceURL(node)}, node},
	}
	client := newClient(4096)
	capacity := float64(o.backends*slots) / o.service.Seconds()
	var rows []overheadRow
	for round := range 4 { // the first round warms up
		list := make([]overheadRow, len(paths))
		var wait sync.WaitGroup
		for i, path := range paths {
			l := load{rate: unit.PerSecond(capacity / 2 / float64(len(paths))), duration: o.duration, urls: path.urls,
				token: accountOther, size: 1024, client: client}
			if round == 0 {
				l.duration = time.Second
			}
			wait.Go(func() {
				before := cpuOf(path.via)
				list[i] = overheadRow{Path: path.name, sample: l.run()}
				list[i].CPU = float64((cpuOf(path.via) - before).Microseconds()) / float64(max(list[i].Sent, 1))
			})
		}
		wait.Wait()
		if round > 0 {
			for _, row := range list {
				fmt.Fprintln(o.progress(), row, "load average", loadAverage())
			}
			rows = append(rows, list...)
		}
	}
	return rows, nil
}

func serviceURL(p *process) string {
	return "http://" + p.addresses[0].Address + "/v1/services/" + serviceName + "/x"
}

func cpuOf(p *process) time.Duration {
	if p == nil {
		return 0
	}
	return p.cpu()
}

// String formats the row as text.
func (r overheadRow) String() string {
	return fmt.Sprintf("overhead  %-10s  %6.0f/s  done %d  not done %d  p50 %.2f ms  p99 %.2f ms  p99.9 %.2f ms  cpu %.1f us/request",
		r.Path, r.Rate, r.Done, r.Sent-r.Done, r.P50, r.P99, r.P999, r.CPU)
}
