package workers

import (
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/worker"
)

// Handler returns the HTTP handler for all workers. The base URL of a worker is
// the URL of the listener, a slash and the worker's name.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{worker}"+worker.PathPrefix+"{kind}", f.serve)
	return mux
}

func (f *Fleet) serve(w http.ResponseWriter, r *http.Request) {
	var c worker.Command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		reply(w, r, http.StatusBadRequest, problem.As(problem.New(problem.Invalid, problem.Detail{
			Field: "body", Remedy: "send a command as JSON: " + err.Error()})))
		return
	}
	c.Kind = worker.Kind(r.PathValue("kind"))
	response, err := f.Call(r.Context(), id.Worker(r.PathValue("worker")), c)
	switch {
	case err == nil:
		reply(w, r, http.StatusOK, response)
	case problem.Is(err, problem.Fenced), problem.Is(err, problem.Conflict):
		reply(w, r, http.StatusConflict, problem.As(err))
	default:
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
}

// minCompressBytes is the size of the smallest response that is compressed. For a
// smaller one, compression saves less than its framing costs.
const minCompressBytes = 512

// reply sends a body as JSON. It compresses bodies of at least minCompressBytes
// if the client accepts gzip: the reports of one response are similar, so they
// compress to about a tenth.
func reply(w http.ResponseWriter, r *http.Request, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	w.Header().Set("Content-Type", "application/json")
	// Write errors are ignored: they mean that the client has disconnected, and it
	// retries.
	if len(data) < minCompressBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.WriteHeader(status)
		_, _ = w.Write(data)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	w.WriteHeader(status)
	z := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(z)
	z.Reset(w)
	_, _ = z.Write(data)
	_ = z.Close()
}

// gzipWriters pools gzip writers, as a new one allocates 0.8 MB.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}
