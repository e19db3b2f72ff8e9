// Package deployment runs an example deployment in one process on loopback. It
// consists of entry nodes and of stand-ins for the platform, the workers and the
// backend servers. The demo, the end-to-end tests and the experiments use it.
package deployment

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/node"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/lib/vmlist"
	"bronzewinch.dev/lib/worker"
	"bronzewinch.dev/standin/backends"
	"bronzewinch.dev/standin/kvservice"
	vmserver "bronzewinch.dev/standin/vmlist"
	"bronzewinch.dev/standin/workers"

	"github.com/cockroachdb/errors"
)

// Config configures a Deployment.
type Config struct {
	// Records are the files of configuration records. The deployment replaces the
	// addresses of workers and backend servers in them by those of the stand-ins.
	Records []operator.File
	// BootstrapHash is the hash of the token that authorizes the first change.
	BootstrapHash record.TokenHash
	// RunTime returns how long a task runs.
	RunTime func(worker.Ref) time.Duration
	// ServiceTime returns how long a backend server takes to run a request.
	ServiceTime func() time.Duration
	// StoreAddress and VMListAddress are the addresses of the key-value service and
	// the VM list. An empty one means a free loopback address.
	StoreAddress, VMListAddress string
	// UseDeclaredAddresses makes workers and backend servers listen on the
	// addresses that the records declare, for entry nodes in other processes.
	UseDeclaredAddresses bool
	// VMListLag is the time after which a change to the VM list becomes visible.
	VMListLag time.Duration
	Timer     timer.Service
}

// Deployment is a running deployment: the stand-ins and the entry nodes.
type Deployment struct {
	config   Config
	Store    *kvservice.Service
	VMList   *vmserver.Server
	Workers  *workers.Fleet
	Backends map[id.Backend]*backends.Server
	// Records are the record files with the addresses of the stand-ins.
	Records []operator.File
	// Set is the record set that is in force once Records have been applied.
	Set *record.Set
	// Traffic counts the bytes of control traffic.
	Traffic *Traffic

	storeURL, vmListURL string
	servers             []*http.Server
	wg                  sync.WaitGroup

	mu    sync.Mutex
	nodes map[id.Node]*Node
}

// Start starts the stand-ins. StartNode starts entry nodes.
func Start(c Config) (*Deployment, error) {
	declared, err := parseRecords(c.Records)
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		config: c, Backends: make(map[id.Backend]*backends.Server), nodes: make(map[id.Node]*Node),
		Traffic: newTraffic(),
		Store:   kvservice.New(kvservice.Config{Timer: c.Timer}),
		VMList:  vmserver.New(vmserver.Config{Timer: c.Timer, Lag: c.VMListLag}),
	}
	if err := d.startStandIns(declared); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) startStandIns(declared *record.Set) error {
	store, err := d.listen(StoreLink, d.Store.Handler(), d.config.StoreAddress)
	if err != nil {
		return err
	}
	list, err := d.listen(VMListLink, d.VMList, d.config.VMListAddress)
	if err != nil {
		return err
	}
	d.storeURL, d.vmListURL = "http://"+store, "http://"+list
	actual := make(map[string]string) // actual address of each declared one
	if err := d.startWorkers(declared, actual); err != nil {
		return err
	}
	if err := d.startBackends(declared, actual); err != nil {
		return err
	}
	d.Records = replaceAddresses(d.config.Records, actual)
	d.Set, err = parseRecords(d.Records)
	return err
}

// listen serves a handler on an address, or on a free loopback address if the
// address is empty. It returns the address used.
func (d *Deployment) listen(link Link, h http.Handler, address string) (string, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	s := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	d.servers = append(d.servers, s)
	d.wg.Go(func() { _ = s.Serve(d.Traffic.countListener(link, l)) })
	return l.Addr().String(), nil
}

// ServeStoreUncounted serves the key-value service on an additional address whose
// traffic is not counted, and returns its URL.
func (d *Deployment) ServeStoreUncounted() (string, error) {
	address, err := d.listen("", d.Store.Handler(), "")
	return "http://" + address, err
}

// startWorkers starts all declared workers, each on its own address.
func (d *Deployment) startWorkers(declared *record.Set, actual map[string]string) error {
	resources := make(map[id.Worker]unit.Resources)
	for _, z := range declared.Zones {
		for _, w := range z.Workers {
			resources[w.Name] = w.Resources
		}
	}
	d.Workers = workers.New(workers.Config{Clock: d.config.Timer, Workers: resources, RunTime: d.config.RunTime})
	fleet := d.Workers.Handler()
	for _, z := range declared.Zones {
		for _, w := range z.Workers {
			address, err := d.listen(WorkerLink, addPathPrefix("/"+string(w.Name), fleet), d.listenAddress(w.Address))
			if err != nil {
				return err
			}
			actual[w.Address] = address
		}
	}
	return nil
}

// listenAddress returns the address on which a stand-in listens: the declared
// one, or an empty one, which means a free address.
func (d *Deployment) listenAddress(address string) string {
	if d.config.UseDeclaredAddresses {
		return address
	}
	return ""
}

// addPathPrefix returns a handler that adds a prefix to the request path.
func addPathPrefix(prefix string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.URL.Path = prefix + r.URL.Path
		h.ServeHTTP(w, r)
	})
}

func (d *Deployment) startBackends(declared *record.Set, actual map[string]string) error {
	for _, s := range declared.Services {
		for _, b := range s.Backends {
			server, err := backends.New(backends.Config{
				Name: b.Name, Address: d.listenAddress(b.Address), Slots: int(s.Slots), Connections: int(s.Connections),
				ServiceTime: d.config.ServiceTime, RecordRuns: !d.config.UseDeclaredAddresses,
			})
			if err != nil {
				return err
			}
			d.Backends[b.Name] = server
			actual[b.Address] = server.Address()
			d.VMList.Set(vmlist.VM{Name: string(b.Name), Role: vmlist.Backend, Zone: b.Zone,
				Address: server.Address(), State: vmlist.Live})
		}
	}
	return nil
}

// Close stops the running nodes, then the stand-ins.
func (d *Deployment) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var stops sync.WaitGroup
	for _, n := range d.Nodes() {
		stops.Go(func() { _ = n.Stop(ctx) })
	}
	stops.Wait()
	for _, s := range d.servers {
		_ = s.Close()
	}
	for _, b := range d.Backends {
		b.Close()
	}
	d.Store.Close()
	d.wg.Wait()
}

// parseRecords returns the set of the records of all files.
func parseRecords(files []operator.File) (*record.Set, error) {
	change := record.Change{ID: "deployment", Author: "deployment"}
	for _, f := range files {
		records, err := record.ParseFile(f.Name, []byte(f.Text))
		if err != nil {
			return nil, err
		}
		for _, r := range records {
			change.Put(r)
		}
	}
	return record.NewSet().Accept(change, 1, guarantee.Binder{})
}

// createNode creates and starts the entry node with the settings of n.
func createNode(n *Node, clock timer.Service) error {
	running, err := node.New(node.Config{Settings: n.settings, Timer: clock, ListenPeers: func(address string) (net.Listener, error) {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		return n.deployment.Traffic.countListener(PeerLink, l), nil
	}})
	if err != nil {
		return err
	}
	n.Node = running
	return nil
}
