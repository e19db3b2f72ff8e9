// Package settings reads the settings files of the daemon and of the command line.
// The tags of each field define its documentation, default and limits. The reference
// page is generated from the same tags, so that it can't differ from the checks.
package settings

import (
	"os"
	"path/filepath"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/tomlfile"
)

// Duration is a duration in a settings file.
type Duration = tomlfile.Duration

// Size is an amount of data in a settings file.
type Size = tomlfile.Size

// Node is the identity of the entry node and its location.
type Node struct {
	ID     id.Node   `toml:"id" check:"id" required:"true" doc:"name of the entry node, unique in the deployment"`
	Zone   id.Zone   `toml:"zone" check:"id" required:"true" doc:"availability zone of the VM"`
	Region id.Region `toml:"region" check:"id" required:"true" doc:"region of the VM"`
}

// Listen defines the addresses on which the entry node listens.
type Listen struct {
	Callers   string `toml:"callers" check:"address" required:"true" doc:"IP address and port for callers"`
	Operators string `toml:"operators" check:"address" required:"true" doc:"IP address and port for operators and client accounts"`
	Peers     string `toml:"peers" check:"address" required:"true" doc:"IP address and port for other entry nodes, as the VM list names it"`
}

// Store configures the client of the platform's key-value service.
type Store struct {
	URLs           []string `toml:"urls" check:"url" required:"true" doc:"addresses of the key-value service; the next one is used when one fails"`
	Timeout        Duration `toml:"timeout" default:"2s" range:"100ms..1m" doc:"longest time for one call other than a watch"`
	CallsPerSecond float64  `toml:"callsPerSecond" default:"200" range:"1..1000" doc:"limit of this node's calls, retries and watches included; a node that takes over the shards of another needs some 150 calls at once"`
}

// VMList configures the reads of the platform's list of VMs.
type VMList struct {
	URL   string   `toml:"url" check:"url" required:"true" doc:"address of the VM list"`
	Every Duration `toml:"every" default:"1s" range:"200ms..1m" doc:"time between reads of the list"`
}

// KeyPair is the TLS identity of a front end.
type KeyPair struct {
	Certificate string `toml:"certificate" check:"file" doc:"PEM file with the certificate chain; empty for no TLS"`
	Key         string `toml:"key" check:"file" doc:"PEM file with the private key"`
	CA          string `toml:"ca" check:"file" doc:"PEM file with the authorities that the other side's certificate must come from; needed for peers"`
}

// TLS contains the TLS identities of the front ends.
type TLS struct {
	Callers   KeyPair `toml:"callers"`
	Operators KeyPair `toml:"operators"`
	Peers     KeyPair `toml:"peers"`
}

// Limits bounds the connections and requests of the entry node.
type Limits struct {
	Connections      int      `toml:"connections" default:"4096" range:"16..65536" doc:"open connections from callers"`
	HeaderSize       Size     `toml:"headerSize" default:"16KiB" range:"1KiB..1MiB" doc:"size of the headers of one request"`
	ReadTimeout      Duration `toml:"readTimeout" default:"10s" range:"100ms..10m" doc:"time in which a caller must send a whole request, half of it for the headers"`
	IdleTimeout      Duration `toml:"idleTimeout" default:"1m" range:"1s..1h" doc:"time after which an unused connection is closed"`
	QueueLength      int      `toml:"queueLength" default:"1024" range:"1..100000" doc:"requests that wait for a backend server"`
	ClientMemory     Size     `toml:"clientMemory" default:"32MiB" range:"1MiB..4GiB" doc:"memory that the requests of callers, and those of operators, may take while they are read; the largest and slowest give way to others"`
	VMMemory         Size     `toml:"vmMemory" default:"0B" range:"0B..1024GiB" doc:"memory of the VM; above four fifths of it the runtime collects garbage ever more often; 0B if it is not known"`
	JobMemory        Size     `toml:"jobMemory" default:"128MiB" range:"1MiB..64GiB" doc:"memory that the unfinished jobs of a zone may take on the node that owns it, 8KiB each; an account leaves a quarter to the others"`
	AnswerMemory     Size     `toml:"answerMemory" default:"16MiB" range:"1MiB..4GiB" doc:"memory for answers that callers can fetch later"`
	AnswerRetention  Duration `toml:"answerRetention" default:"10m" range:"1s..24h" doc:"time for which an answer can be fetched"`
	ShutdownTimeout  Duration `toml:"shutdownTimeout" default:"1m" range:"1s..1h" doc:"time for requests in progress at a planned stop"`
	StopGrace        Duration `toml:"stopGrace" default:"1s" range:"0s..1m" doc:"time for which new requests are still accepted after /readyz says that the node stops; longer than the balancer's interval between two checks"`
	OperatorBodySize Size     `toml:"operatorBodySize" default:"1MiB" range:"4KiB..1MiB" doc:"size of one request of an operator"`
	OperatorRequests int      `toml:"operatorRequests" default:"64" range:"1..1024" doc:"requests of operators and accounts in progress"`
}

// History bounds the decision records that are kept after they are removed from
// the journals.
type History struct {
	Retention   Duration `toml:"retention" default:"720h" range:"24h..8760h" doc:"time for which decision records are kept"`
	SizePerZone Size     `toml:"sizePerZone" default:"64MiB" range:"1MiB..1GiB" doc:"size of the kept records of one zone in the key-value service; the oldest are deleted beyond it"`
	Delay       Duration `toml:"delay" default:"10m" range:"1m..1h" doc:"longest time that a record stays in the journal alone"`
}

// Bootstrap authenticates the first operator of a new deployment.
type Bootstrap struct {
	TokenHash record.TokenHash `toml:"tokenHash" secret:"true" doc:"SHA-256 hash of a token that acts as an operator while no operator record is in force; ignored from then on"`
}

// Log configures the log.
type Log struct {
	Verbosity int `toml:"verbosity" default:"0" range:"0..5" doc:"detail of the log; 0 logs changes of state only"`
}

// Daemon contains the settings of bronzewinchd.
type Daemon struct {
	Node   Node   `toml:"node"`
	Listen Listen `toml:"listen"`
	Store  Store  `toml:"store"`
	VMList VMList `toml:"vmList"`
	TLS    TLS    `toml:"tls"`
	Limits Limits `toml:"limits"`
	Log    Log    `toml:"log"`

	History   History   `toml:"history"`
	Bootstrap Bootstrap `toml:"bootstrap"`
}

// Context configures the access of the command line to one deployment.
type Context struct {
	Addresses []string `toml:"addresses" check:"url" required:"true" doc:"addresses of the entry nodes or of their balancer; the next one is tried when one can't be reached"`
	TokenFile string   `toml:"tokenFile" check:"file" required:"true" doc:"file with the bearer token as its only line"`
	CA        string   `toml:"ca" check:"file" doc:"PEM file with the authorities of the entry nodes' certificates"`
	Timeout   Duration `toml:"timeout" default:"10s" range:"100ms..10m" doc:"longest time for one request"`
	Schema    string   `toml:"schema" default:"v2" oneof:"v1 v2" doc:"schema version in which records are shown"`
}

// Contexts contains the settings of the command line.
type Contexts struct {
	Current  string             `toml:"current" check:"id" required:"true" doc:"name of the context that is used without -context"`
	Contexts map[string]Context `toml:"context" doc:"contexts by name"`
}

// ReadDaemon reads the settings file of the daemon. File names in it are relative to
// its directory. The error lists all mistakes in the file.
func ReadDaemon(path string) (Daemon, error) { return read[Daemon](path, Daemon.check) }

// ParseDaemon parses the content of a settings file of the daemon. It resolves file
// names and reports mistakes as if the content had been read from path.
func ParseDaemon(path string, data []byte) (Daemon, error) {
	return parse(path, data, Daemon.check)
}

// ReadContexts reads the contexts file of the command line.
func ReadContexts(path string) (Contexts, error) { return read[Contexts](path, Contexts.check) }

func read[T any](path string, check func(T, tomlfile.Node, *tomlfile.Mistakes)) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var v T
		return v, problem.New(problem.NotFound, problem.Detail{Field: "file", Value: path,
			Remedy: "create the file as docs/configuration.md describes, or name another one"})
	}
	return parse(path, data, check)
}

func parse[T any](path string, data []byte, check func(T, tomlfile.Node, *tomlfile.Mistakes)) (T, error) {
	var v T
	tree, err := tomlfile.Parse(data)
	if err != nil {
		return v, err.(tomlfile.Mistakes).WithFile(path)
	}
	var mistakes tomlfile.Mistakes
	tree.Root().Fill(&v, &mistakes)
	w := walker{root: tree.Root(), dir: filepath.Dir(path), mistakes: &mistakes, undecoded: make(map[string]bool)}
	for _, mistake := range mistakes {
		w.undecoded[mistake.Field] = true
	}
	w.walk(&v)
	check(v, tree.Root(), &mistakes)
	if len(mistakes) > 0 {
		return v, mistakes.WithFile(path)
	}
	return v, nil
}

func (d Daemon) check(n tomlfile.Node, mistakes *tomlfile.Mistakes) {
	for _, frontend := range []struct {
		name       string
		pair       KeyPair
		requiresCA bool
	}{{"callers", d.TLS.Callers, false}, {"operators", d.TLS.Operators, false}, {"peers", d.TLS.Peers, true}} {
		field := "tls." + frontend.name
		if (frontend.pair.Certificate == "") != (frontend.pair.Key == "") {
			mistakes.Add(n.Line(field), problem.Detail{Field: field, Limit: "both certificate and key, or neither", Remedy: "set both files or neither"})
		}
		if frontend.requiresCA && frontend.pair.Certificate != "" && frontend.pair.CA == "" {
			mistakes.Add(n.Line(field), problem.Detail{Field: field + ".ca", Limit: "required with a certificate",
				Remedy: "set the PEM file with the authorities of the other nodes' certificates"})
		}
	}
	seen := make(map[string]string)
	for _, listener := range [][2]string{{"listen.callers", d.Listen.Callers}, {"listen.operators", d.Listen.Operators}, {"listen.peers", d.Listen.Peers}} {
		if first, ok := seen[listener[1]]; ok && listener[1] != "" {
			mistakes.Add(n.Line(listener[0]), problem.Detail{Field: listener[0], Value: listener[1], Limit: "an address that no other field uses", Remedy: "choose another port than " + first})
		}
		seen[listener[1]] = listener[0]
	}
}

func (c Contexts) check(n tomlfile.Node, mistakes *tomlfile.Mistakes) {
	if _, ok := c.Contexts[c.Current]; !ok && c.Current != "" {
		mistakes.Add(n.Line("current"), problem.Detail{Field: "current", Value: c.Current, Limit: "one of the contexts",
			Remedy: "add a table [context." + c.Current + "] or name another one"})
	}
}
