package deployment

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/node"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/settings"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/vmlist"

	"github.com/cockroachdb/errors"
)

// stopTimeout is the longest time to wait for planned stops in Close.
const stopTimeout = 20 * time.Second

// Node is one entry node of a deployment.
type Node struct {
	*node.Node
	ID         id.Node
	Zone       id.Zone
	settings   settings.Daemon
	deployment *Deployment
}

// CallerURL returns the URL for callers.
func (n *Node) CallerURL() string { return "http://" + n.settings.Listen.Callers }

// OperatorURL returns the URL for operators and accounts.
func (n *Node) OperatorURL() string { return "http://" + n.settings.Listen.Operators }

// StartNode starts an entry node in a zone and adds it to the VM list.
func (d *Deployment) StartNode(name id.Node, zone id.Zone) (*Node, error) {
	n := &Node{ID: name, Zone: zone, deployment: d}
	addresses, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	n.settings, err = settings.ParseDaemon(string(name), []byte(d.settingsText(name, zone, addresses)))
	if err != nil {
		return nil, err
	}
	if err := createNode(n, d.config.Timer); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.nodes[name] = n
	d.mu.Unlock()
	d.VMList.Set(vmlist.VM{Name: string(name), Role: vmlist.Entry, Zone: zone, Address: n.settings.Listen.Peers, State: vmlist.Live})
	return n, nil
}

// ProcessSettings returns the text of the settings of an entry node that runs as a process of
// its own, and the addresses on which it listens. It adds the node to the VM list. Further
// sections may be appended to the text.
func (d *Deployment) ProcessSettings(name id.Node, zone id.Zone) (string, settings.Listen, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return "", settings.Listen{}, err
	}
	listen := settings.Listen{Callers: addresses[0], Operators: addresses[1], Peers: addresses[2]}
	d.VMList.Set(vmlist.VM{Name: string(name), Role: vmlist.Entry, Zone: zone, Address: listen.Peers, State: vmlist.Live})
	return d.settingsText(name, zone, addresses), listen, nil
}

func (d *Deployment) settingsText(name id.Node, zone id.Zone, addresses []string) string {
	return fmt.Sprintf(`[node]
id = %q
zone = %q
region = %q
[listen]
callers = %q
operators = %q
peers = %q
[store]
urls = [%q]
[vmList]
url = %q
[bootstrap]
tokenHash = %q
`, name, zone, d.Set.Zones[zone].Region, addresses[0], addresses[1], addresses[2], d.storeURL, d.vmListURL, d.config.BootstrapHash)
}

// Nodes returns the running entry nodes in order of name.
func (d *Deployment) Nodes() []*Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*Node
	for _, n := range d.nodes {
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b *Node) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// Stop removes the node from the VM list and shuts it down in an orderly way.
func (n *Node) Stop(ctx context.Context) error {
	n.deployment.removeNode(n)
	return n.Close(ctx)
}

// Fail stops the node as a failed VM does: the key-value service rejects its
// calls, it hands over none of its shards, and the connections of its callers
// break.
func (n *Node) Fail() {
	n.deployment.removeNode(n)
	n.deployment.Store.Partition(string(n.ID), true)
	n.Abort()
}

func (d *Deployment) removeNode(n *Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.nodes, n.ID)
	d.VMList.Remove(string(n.ID))
}

// AwaitReady waits until all nodes are ready and have a configuration of at least
// the given revision in force, and every shard of the deployment has one owner.
func (d *Deployment) AwaitReady(ctx context.Context, revision id.Revision, shards int) error {
	for {
		owned, ready := 0, true
		for _, n := range d.Nodes() {
			owned += len(n.Owned())
			ready = ready && n.Ready() == nil && n.Revision() >= revision
		}
		if ready && owned == shards {
			return nil
		}
		if timer.Sleep(ctx, d.config.Timer, pollInterval) != nil {
			return problem.New(problem.Expired, problem.Detail{Field: "start of the deployment",
				Value: fmt.Sprintf("%d of %d shards owned", owned, shards), Remedy: "check the log for the first error"})
		}
	}
}

// pollInterval is the time between two checks of a state that AwaitReady waits
// for.
const pollInterval = 20 * time.Millisecond

// freeAddresses returns n loopback addresses that are currently free.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer l.Close() // all stay open until the return, so that the addresses differ
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// replaceAddresses returns the files with the declared addresses replaced by the
// actual ones.
func replaceAddresses(files []operator.File, actual map[string]string) []operator.File {
	var pairs []string
	for from, to := range actual {
		pairs = append(pairs, `"`+from+`"`, `"`+to+`"`)
	}
	r := strings.NewReplacer(pairs...)
	out := slices.Clone(files)
	for i := range out {
		out[i].Text = r.Replace(out[i].Text)
	}
	return out
}
