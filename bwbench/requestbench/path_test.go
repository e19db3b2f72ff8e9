package requestbench

import (
	"net/http"
	"strings"
	"testing"
)

// BenchmarkPath measures sequential requests that are sent directly to a backend
// server, through the minimal forwarder and through an entry node.
func BenchmarkPath(b *testing.B) {
	_, list, err := newBackends(50, nil, false)
	if err != nil {
		b.Fatal(err)
	}
	m := newMembers(1)
	e, err := newEntryNode(entryNodeConfig{name: "n", configSource: fixedConfig{configuration(list, 0)}, positionSource: memberPosition{m, 0},
		backends: m, deduplicator: newOwners(nil)})
	if err != nil {
		b.Fatal(err)
	}
	forwarder, err := startForwarder(list)
	if err != nil {
		b.Fatal(err)
	}
	client := newClient(64)
	for name, url := range map[string]string{"direct": "http://" + list[0].Address + "/x",
		"forwarder": "http://" + forwarder + "/x", "entry": e.url + "/v1/services/" + serviceName + "/x"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				r, err := http.NewRequest(http.MethodPost, url, strings.NewReader("hello"))
				if err != nil {
					b.Fatal(err)
				}
				r.Header.Set("Authorization", "Bearer "+accountOther)
				if _, _, status := send(client, r); status != http.StatusOK {
					b.Fatalf("status %d", status)
				}
			}
		})
	}
}
