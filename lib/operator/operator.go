// Package operator implements the HTTP API for operators and client accounts:
// configuration records, jobs, decisions, nodes and workers. It decodes and
// checks requests and encodes responses; the operations themselves are behind
// the interfaces declared here. docs/api.md describes the requests.
package operator

import (
	"context"
	"fmt"
	"net/http"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
)

// Configuration gives access to the records in force and their journal.
type Configuration interface {
	// Apply appends a change. For a change that is already in force, it returns
	// the change's revision.
	Apply(ctx context.Context, c record.Change) (id.Revision, error)
	// Current returns the set in force on this node, or nil if there is none yet.
	Current() *record.Set
	// History returns the accepted changes, oldest first.
	History(ctx context.Context) ([]record.AcceptedChange, error)
	// InForceSince returns when revisions came into force on each live node that
	// responds. A node reports only revisions that came into force since it started.
	InForceSince(ctx context.Context) (map[id.Revision][]NodeTime, error)
	// InForce returns the revision in force on each live node.
	InForce(ctx context.Context) ([]NodeRevision, error)
}

// JobQuery selects jobs. Empty fields match all jobs.
type JobQuery struct {
	Account id.Account
	Zone    id.Zone
	Phase   job.Phase
	IDs     []id.Job
	// After and Limit page through the jobs in id order.
	After id.Job
	Limit int
}

// DecisionQuery selects the decision records of a job, or those of a zone after a
// version of an epoch.
type DecisionQuery struct {
	Job     id.Job
	Zone    id.Zone
	Epoch   id.Epoch
	Version uint64
	Limit   int
}

// Jobs gives access to the jobs of all zones.
type Jobs interface {
	// Submit accepts a job durably. It is idempotent: if a job with the id and
	// spec exists, its current state is returned. A different spec is a Conflict.
	Submit(ctx context.Context, job id.Job, spec job.Spec) (job.Job, error)
	// Cancel requests the cancellation of jobs and returns their current states.
	// Unknown ids are left out of the result.
	Cancel(ctx context.Context, jobs []id.Job) ([]job.Job, error)
	Get(ctx context.Context, job id.Job) (job.Job, error)
	List(ctx context.Context, q JobQuery) ([]job.Job, error)
	Decisions(ctx context.Context, q DecisionQuery) ([]decision.Record, error)
}

// Cluster gives access to the entry nodes and workers.
type Cluster interface {
	Nodes(ctx context.Context) ([]Node, error)
	Workers(ctx context.Context, zone id.Zone) ([]Worker, error)
	// Drain sets whether a worker is draining. A draining worker gets no new work.
	Drain(ctx context.Context, worker id.Worker, drain bool) (Worker, error)
}

// Report computes a report, for example on the burn rates of the service-level
// objectives. Its result is encoded as JSON.
type Report func(ctx context.Context) (any, error)

// Config configures a Frontend.
type Config struct {
	Configuration Configuration
	Jobs          Jobs
	Cluster       Cluster
	Binder        record.Binder
	Reports       map[string]Report
	// Bootstrap is the hash of the bootstrap token, which authenticates the
	// operator BootstrapName while no operator record is in force. It may be empty.
	Bootstrap record.TokenHash
	// Ready returns an error that says why the node is not ready, or nil.
	Ready   func() error
	Clock   timer.Service
	Metrics *metrics.Set
	// MaxBody bounds the size of a request body. The default is 1 MiB.
	MaxBody unit.Bytes
	// MaxRequests bounds the requests in progress. The default is 64.
	MaxRequests int
}

// Frontend serves operators and client accounts. It is an http.Handler.
type Frontend struct {
	Config
	router  chi.Router
	slots   chan struct{}
	records recordPipes
	jobs    pipe.Filter[submission, job.Job]
}

// New returns a Frontend that serves the routes of docs/api.md.
func New(c Config) *Frontend {
	if c.MaxBody == 0 {
		c.MaxBody = unit.MiB
	}
	if c.MaxRequests == 0 {
		c.MaxRequests = 64
	}
	f := &Frontend{Config: c, router: chi.NewRouter(), slots: make(chan struct{}, c.MaxRequests)}
	f.records = f.newRecordPipes()
	f.jobs = f.newJobPipe()
	f.routes()
	return f
}

// ServeHTTP implements http.Handler.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.router.ServeHTTP(w, r) }

func (f *Frontend) routes() {
	r := f.router
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, problem.New(problem.NotFound, problem.Detail{Field: "path", Value: r.URL.Path, Remedy: "see docs/api.md"}))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		writeStatus(w, http.StatusMethodNotAllowed, problem.New(problem.Invalid, problem.Detail{Field: "method", Value: r.Method, Remedy: "see docs/api.md"}))
	})
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	r.Get("/readyz", f.readyz)
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		f.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	r.Route("/v1", func(r chi.Router) {
		r.Use(f.limitConcurrency)
		f.recordRoutes(r)
		f.jobRoutes(r)
		r.Get("/nodes", handle(f, "nodes", Operators, f.nodes))
		r.Get("/workers", handle(f, "workers", Operators, f.workers))
		r.Put("/workers/{worker}/drain", handle(f, "drain", Operators, f.drain))
		r.Get("/reports/{report}", handle(f, "report", Operators, f.report))
	})
}

func (f *Frontend) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := f.Ready(); err != nil {
		writeError(w, problem.New(problem.Unavailable, problem.Detail{Field: "node", Remedy: problem.As(err).Error()}))
		return
	}
	fmt.Fprintln(w, "ready")
}

// limitConcurrency rejects requests beyond MaxRequests in progress, so that a
// burst of operator requests does not take memory from the request path.
func (f *Frontend) limitConcurrency(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case f.slots <- struct{}{}:
			defer func() { <-f.slots }()
			next.ServeHTTP(w, r)
		default:
			writeError(w, problem.New(problem.Overloaded, problem.Detail{Field: "requests", Limit: fmt.Sprint(f.MaxRequests, " in progress"),
				Remedy: "send the request again after a second"}))
		}
	})
}

func (f *Frontend) nodes(ctx context.Context, _ Caller, _ struct{}) (Nodes, error) {
	list, err := f.Cluster.Nodes(ctx)
	return Nodes{Nodes: list}, err
}

func (f *Frontend) workers(ctx context.Context, _ Caller, q WorkersRequest) (Workers, error) {
	list, err := f.Cluster.Workers(ctx, q.Zone)
	return Workers{Workers: list}, err
}

func (f *Frontend) drain(ctx context.Context, _ Caller, q DrainRequest) (Worker, error) {
	return f.Cluster.Drain(ctx, q.Worker, q.Drain)
}

func (f *Frontend) report(ctx context.Context, _ Caller, q ReportRequest) (any, error) {
	report, ok := f.Reports[q.Report]
	if !ok {
		return nil, problem.New(problem.NotFound, problem.Detail{Field: "report", Value: q.Report, Remedy: "see docs/api.md for the reports"})
	}
	return report(ctx)
}
