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

// File is one file of records.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Removal names a record to remove and the revision it is based on.
type Removal struct {
	Record string      `json:"record"`
	Base   id.Revision `json:"baseRevision"`
}

// ChangeRequest asks to apply, check or compare a change set.
type ChangeRequest struct {
	// ChangeID is chosen by the caller and kept when the request is sent
	// again. It may be empty for check and diff.
	ChangeID record.ChangeID `json:"changeId,omitempty"`
	Files    []File          `json:"files,omitempty"`
	Remove   []Removal       `json:"remove,omitempty"`
	// Overwrite bases each record on the revision in force, whatever the
	// record says.
	Overwrite bool `json:"overwrite,omitempty"`
}

// ChangeResult is an accepted change set.
type ChangeResult struct {
	Revision id.Revision `json:"revision"`
	// Changed names the records that differ from those in force before.
	Changed []string `json:"changed"`
}

// DiffResult holds what a change set would do.
type DiffResult struct {
	Revision id.Revision   `json:"revision"`
	Diffs    []record.Diff `json:"diffs"`
}

// RecordsRequest selects records in force.
type RecordsRequest struct {
	Kind   record.Kind   `query:"kind"`
	Record string        `query:"record"`
	Schema record.Schema `query:"schema"`
	// Revision selects the records that were in force at an earlier revision,
	// as far as they are kept. Zero means the present.
	Revision id.Revision `query:"revision"`
}

// RecordItem is one record in force.
type RecordItem struct {
	Record   string        `json:"record"`
	Schema   record.Schema `json:"schema"`
	Revision id.Revision   `json:"revision"`
	Author   id.Operator   `json:"author"`
	At       time.Time     `json:"at"`
	// Text is the record in Schema. Written is the version it was written in.
	Text          string        `json:"text"`
	WrittenSchema record.Schema `json:"writtenSchema"`
}

// Records is the records in force at a revision.
type Records struct {
	Revision id.Revision  `json:"revision"`
	Records  []RecordItem `json:"records"`
	// Document holds the records as one file with base revisions.
	Document string `json:"document"`
	// Copies says where the copies of guarantees without a zone are held.
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
	// Records is the records of the change as written. It is empty for the
	// oldest changes, whose records are no longer kept.
	Records []HistoryRecord `json:"records,omitempty"`
	// InForce says when the change came into force on the nodes that are live
	// and have run since then.
	InForce []NodeTime `json:"inForce,omitempty"`
}

// NodeTime is when a revision came into force on one node.
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

// History is accepted change sets, the newest first.
type History struct {
	Changes []HistoryItem `json:"changes"`
}

// ConvertRequest asks for files in another schema version.
type ConvertRequest struct {
	Files  []File        `json:"files"`
	Schema record.Schema `json:"schema"`
}

// ConvertResult holds the files in the schema version asked for.
type ConvertResult struct {
	Files []File `json:"files"`
}

// InForceRequest asks which nodes have a revision in force.
type InForceRequest struct {
	Revision id.Revision `query:"revision"`
}

// NodeRevision is the revision in force on one live node.
type NodeRevision struct {
	Node     id.Node     `json:"node"`
	Zone     id.Zone     `json:"zone"`
	Revision id.Revision `json:"revision"`
}

// InForce tells which live nodes have a revision in force.
type InForce struct {
	Revision   id.Revision    `json:"revision"`
	Everywhere bool           `json:"everywhere"`
	Nodes      []NodeRevision `json:"nodes"`
}

// SubmitRequest asks to run the one job record of a file.
type SubmitRequest struct {
	// Job is the id of the job, chosen by the caller and kept when the
	// request is sent again.
	Job  id.Job `json:"job"`
	File File   `json:"file"`
}

// JobRequest names a job.
type JobRequest struct {
	Job id.Job `path:"job"`
}

// CancelRequest names the jobs to cancel.
type CancelRequest struct {
	Jobs []id.Job `json:"jobs"`
}

// CancelResult tells what became of a wish to cancel. Jobs that are already
// final or that the caller may not see are named apart.
type CancelResult struct {
	Jobs     []job.Job `json:"jobs"`
	NotFound []id.Job  `json:"notFound,omitempty"`
}

// JobsRequest selects jobs. An account gets its own only.
type JobsRequest struct {
	Account id.Account `query:"account"`
	Zone    id.Zone    `query:"zone"`
	Phase   job.Phase  `query:"phase"`
	After   id.Job     `query:"after"`
	Limit   int        `query:"limit"`
}

// JobList is jobs in order of id.
type JobList struct {
	Jobs []job.Job `json:"jobs"`
	// After continues the list. It is empty at its end.
	After id.Job `json:"after,omitempty"`
}

// DecisionsRequest selects decision records of one job.
type DecisionsRequest struct {
	Job   id.Job `path:"job"`
	Limit int    `query:"limit"`
}

// ZoneDecisionsRequest selects decision records of a zone, the oldest first.
type ZoneDecisionsRequest struct {
	Zone  id.Zone  `path:"zone"`
	Epoch id.Epoch `query:"epoch"`
	After uint64   `query:"after"`
	Limit int      `query:"limit"`
	// Skip leaves out the first records, so that a version with more records
	// than fit into one answer can be read.
	Skip int `query:"skip"`
}

// Decisions is decision records, the oldest first.
type Decisions struct {
	Decisions []decision.Record `json:"decisions"`
}

// Explanation tells in plain words what was decided about a job and why.
type Explanation struct {
	Job   job.Job  `json:"job"`
	Lines []string `json:"lines"`
}

// Node is an entry node as the node asked knows it.
type Node struct {
	ID       id.Node               `json:"id"`
	Zone     id.Zone               `json:"zone"`
	Address  string                `json:"address"`
	Live     bool                  `json:"live"`
	Leaving  bool                  `json:"leaving"`
	Revision id.Revision           `json:"revision"`
	Owned    map[id.Shard]id.Epoch `json:"owned,omitempty"`
}

// Nodes is the entry nodes.
type Nodes struct {
	Nodes []Node `json:"nodes"`
}

// WorkersRequest selects workers.
type WorkersRequest struct {
	Zone id.Zone `query:"zone"`
}

// WorkerState says whether a worker is used for new work.
type WorkerState string

// The states of a worker.
const (
	WorkerUp          WorkerState = "up"
	WorkerDraining    WorkerState = "draining"
	WorkerFailing     WorkerState = "failing"
	WorkerUnreachable WorkerState = "unreachable"
)

// Worker is a worker with its present use.
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

// Workers is workers.
type Workers struct {
	Workers []Worker `json:"workers"`
}

// DrainRequest asks that a worker gets no new work, or that it gets work
// again.
type DrainRequest struct {
	Worker id.Worker `path:"worker" json:"-"`
	Drain  bool      `json:"drain"`
}

// ReportRequest names a report.
type ReportRequest struct {
	Report string `path:"report"`
}

// ErrorBody is the body of an answer with an error, of the content type
// application/problem+json.
type ErrorBody struct {
	Problem problem.Error `json:"problem"`
	// Mistakes holds every mistake of the files sent.
	Mistakes tomlfile.Mistakes `json:"mistakes,omitempty"`
	// Conflict holds both versions of a record.
	Conflict *record.ConflictError `json:"conflict,omitempty"`
}
