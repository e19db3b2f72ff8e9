package operator

import (
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/tomlfile"
	"bronzewinch.dev/lib/unit"
)

// File is a file of configuration or job records.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Removal is the removal of a record, based on a revision of that record.
type Removal struct {
	Record string      `json:"record"`
	Base   id.Revision `json:"baseRevision"`
}

// ChangeRequest is a request to apply, check or compare a change set.
type ChangeRequest struct {
	// ChangeID is chosen by the caller and stays the same when the request is
	// retried. It may be empty for check and diff.
	ChangeID record.ChangeID `json:"changeId,omitempty"`
	Files    []File          `json:"files,omitempty"`
	Remove   []Removal       `json:"remove,omitempty"`
	// Overwrite bases each record on the revision in force and ignores the base
	// revisions in the request.
	Overwrite bool `json:"overwrite,omitempty"`
}

// ChangeResult is the result of an accepted change set.
type ChangeResult struct {
	Revision id.Revision `json:"revision"`
	// Changed lists the records that the change set modifies, adds or removes.
	Changed []string `json:"changed"`
}

// DiffResult describes what a change set would change.
type DiffResult struct {
	Revision id.Revision   `json:"revision"`
	Diffs    []record.Diff `json:"diffs"`
}

// RecordsRequest selects records in force.
type RecordsRequest struct {
	Kind   record.Kind   `query:"kind"`
	Record string        `query:"record"`
	Schema record.Schema `query:"schema"`
	// Revision selects the records that were in force at an earlier revision, if
	// they are still stored. Zero means the current revision.
	Revision id.Revision `query:"revision"`
}

// RecordItem is one record in force.
type RecordItem struct {
	Record   string        `json:"record"`
	Schema   record.Schema `json:"schema"`
	Revision id.Revision   `json:"revision"`
	Author   id.Operator   `json:"author"`
	At       time.Time     `json:"at"`
	// Text is the record converted to Schema.
	Text string `json:"text"`
	// WrittenSchema is the schema version that the record was written in.
	WrittenSchema record.Schema `json:"writtenSchema"`
}

// Records lists the records in force at a revision.
type Records struct {
	Revision id.Revision  `json:"revision"`
	Records  []RecordItem `json:"records"`
	// Document is the text of all records as one file with base revisions.
	Document string `json:"document"`
	// Copies lists the zones in which the copies of guarantees without a fixed
	// zone are bound.
	Copies []record.CopyZones `json:"copies,omitempty"`
}

// HistoryRequest selects accepted change sets.
type HistoryRequest struct {
	Record string `query:"record"`
	Limit  int    `query:"limit"`
}

// HistoryItem is one accepted change set.
type HistoryItem struct {
	Revision id.Revision     `json:"revision"`
	ChangeID record.ChangeID `json:"changeId"`
	Author   id.Operator     `json:"author"`
	At       time.Time       `json:"at"`
	// Records lists the records of the change as written. It is empty for the
	// oldest changes, whose records are no longer stored.
	Records []HistoryRecord `json:"records,omitempty"`
	// InForce lists when the change came into force on each live node. It leaves
	// out nodes that have restarted since then.
	InForce []NodeTime `json:"inForce,omitempty"`
}

// NodeTime is the time at which a revision came into force on a node.
type NodeTime struct {
	Node id.Node   `json:"node"`
	At   time.Time `json:"at"`
}

// HistoryRecord is one record of a change set. Text is empty for a removal.
type HistoryRecord struct {
	Record string      `json:"record"`
	Base   id.Revision `json:"baseRevision"`
	Text   string      `json:"text,omitempty"`
}

// History lists accepted change sets, newest first.
type History struct {
	Changes []HistoryItem `json:"changes"`
}

// ConvertRequest is a request to convert files to a schema version.
type ConvertRequest struct {
	Files  []File        `json:"files"`
	Schema record.Schema `json:"schema"`
}

// ConvertResult holds the files in the requested schema version.
type ConvertResult struct {
	Files []File `json:"files"`
}

// InForceRequest is a query for the nodes that have a revision in force.
type InForceRequest struct {
	Revision id.Revision `query:"revision"`
}

// NodeRevision is the revision in force on one live node.
type NodeRevision struct {
	Node     id.Node     `json:"node"`
	Zone     id.Zone     `json:"zone"`
	Revision id.Revision `json:"revision"`
}

// InForce reports the revisions in force on the live nodes. Everywhere is true if
// every live node has reached Revision.
type InForce struct {
	Revision   id.Revision    `json:"revision"`
	Everywhere bool           `json:"everywhere"`
	Nodes      []NodeRevision `json:"nodes"`
}

// SubmitRequest submits the job described by a file with a single job record.
type SubmitRequest struct {
	// Job is the id of the job. It is chosen by the caller and stays the same when
	// the request is retried.
	Job  id.Job `json:"job"`
	File File   `json:"file"`
}

// JobRequest selects a job by its id.
type JobRequest struct {
	Job id.Job `path:"job"`
}

// CancelRequest is a request to cancel jobs.
type CancelRequest struct {
	Jobs []id.Job `json:"jobs"`
}

// CancelResult is the result of a cancellation. NotFound lists the jobs that do
// not exist or that the caller may not access.
type CancelResult struct {
	Jobs     []job.Job `json:"jobs"`
	NotFound []id.Job  `json:"notFound,omitempty"`
}

// JobsRequest selects jobs. An account can list only its own jobs.
type JobsRequest struct {
	Account id.Account `query:"account"`
	Zone    id.Zone    `query:"zone"`
	Phase   job.Phase  `query:"phase"`
	After   id.Job     `query:"after"`
	Limit   int        `query:"limit"`
}

// JobList is a page of jobs in id order.
type JobList struct {
	Jobs []job.Job `json:"jobs"`
	// After is the value of JobsRequest.After for the next page. It is empty on the
	// last page.
	After id.Job `json:"after,omitempty"`
}

// DecisionsRequest selects the decision records of a job.
type DecisionsRequest struct {
	Job   id.Job `path:"job"`
	Limit int    `query:"limit"`
}

// ZoneDecisionsRequest selects the decision records of a zone that follow version
// After of an epoch.
type ZoneDecisionsRequest struct {
	Zone  id.Zone  `path:"zone"`
	Epoch id.Epoch `query:"epoch"`
	After uint64   `query:"after"`
	Limit int      `query:"limit"`
	// Skip is the number of records to leave out at the start. It makes it possible
	// to page through a version that has more records than fit into one response.
	Skip int `query:"skip"`
}

// Decisions lists decision records, oldest first.
type Decisions struct {
	Decisions []decision.Record `json:"decisions"`
}

// Explanation describes the decisions about a job and their reasons as text.
type Explanation struct {
	Job   job.Job  `json:"job"`
	Lines []string `json:"lines"`
}

// Node is the state of an entry node as known to the node that serves the
// request.
type Node struct {
	ID       id.Node               `json:"id"`
	Zone     id.Zone               `json:"zone"`
	Address  string                `json:"address"`
	Live     bool                  `json:"live"`
	Leaving  bool                  `json:"leaving"`
	Revision id.Revision           `json:"revision"`
	Owned    map[id.Shard]id.Epoch `json:"owned,omitempty"`
}

// Nodes lists the entry nodes.
type Nodes struct {
	Nodes []Node `json:"nodes"`
}

// WorkersRequest selects workers.
type WorkersRequest struct {
	Zone id.Zone `query:"zone"`
}

// WorkerState is whether a worker gets new work and, if not, the reason.
type WorkerState string

// The states of a worker.
const (
	WorkerUp          WorkerState = "up"
	WorkerDraining    WorkerState = "draining"
	WorkerFailing     WorkerState = "failing"
	WorkerUnreachable WorkerState = "unreachable"
	WorkerEvacuated   WorkerState = "evacuated"
)

// Worker is a worker with its current allocations.
type Worker struct {
	Name     id.Worker      `json:"name"`
	Zone     id.Zone        `json:"zone"`
	Rack     id.Rack        `json:"rack"`
	Address  string         `json:"address"`
	State    WorkerState    `json:"state"`
	Reason   string         `json:"reason,omitempty"`
	Declared unit.Resources `json:"declared"`
	Free     unit.Resources `json:"free"`
	Jobs     []id.Job       `json:"jobs,omitempty"`
}

// Workers lists workers.
type Workers struct {
	Workers []Worker `json:"workers"`
}

// DrainRequest sets whether a worker is draining. A draining worker gets no new
// work.
type DrainRequest struct {
	Worker id.Worker `path:"worker" json:"-"`
	Drain  bool      `json:"drain"`
}

// ReportRequest selects a report by name.
type ReportRequest struct {
	Report string `path:"report"`
}

// ErrorBody is the body of an error response. Its content type is
// application/problem+json.
type ErrorBody struct {
	Problem problem.Error `json:"problem"`
	// Mistakes lists all errors in the files of the request.
	Mistakes tomlfile.Mistakes `json:"mistakes,omitempty"`
	// Conflict holds both versions of a conflicting record.
	Conflict *record.ConflictError `json:"conflict,omitempty"`
}
