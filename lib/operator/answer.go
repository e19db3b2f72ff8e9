package operator

import (
	"encoding/json"
	"net/http"

	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/tomlfile"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// httpStatuses maps error kinds to HTTP statuses. Unknown maps to 504 because, as
// after a gateway timeout, it is not known whether the request took effect.
var httpStatuses = map[problem.Kind]int{
	problem.Invalid:         http.StatusBadRequest,
	problem.NotFound:        http.StatusNotFound,
	problem.Conflict:        http.StatusConflict,
	problem.Denied:          http.StatusForbidden,
	problem.Unauthenticated: http.StatusUnauthorized,
	problem.NeverFits:       http.StatusUnprocessableEntity,
	problem.Overloaded:      http.StatusTooManyRequests,
	problem.Unavailable:     http.StatusServiceUnavailable,
	problem.Fenced:          http.StatusServiceUnavailable,
	problem.NotOwner:        http.StatusServiceUnavailable,
	problem.Expired:         http.StatusGatewayTimeout,
	problem.Unknown:         http.StatusGatewayTimeout,
	problem.Internal:        http.StatusInternalServerError,
}

// retryAfterSeconds is the value of the Retry-After header in responses to requests
// that are rejected temporarily.
const retryAfterSeconds = "1"

func writeError(w http.ResponseWriter, err error) {
	status, known := httpStatuses[problem.KindOf(err)]
	if !known { // net/http panics on status 0
		status = http.StatusInternalServerError
	}
	if errors.Is(err, errTooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	writeStatus(w, status, err)
}

func writeStatus(w http.ResponseWriter, status int, err error) {
	body := ErrorBody{Problem: *problem.As(err)}
	if body.Problem.Kind == problem.Internal {
		// The error text may contain internals that accounts must not see.
		klog.ErrorS(err, "operator API request failed with an internal error")
		body.Problem.Detail = problem.Detail{Remedy: "see the log of the node; report it if it happens again"}
	}
	var mistakes tomlfile.Mistakes
	if errors.As(err, &mistakes) {
		body.Mistakes = mistakes
	}
	errors.As(err, &body.Conflict)
	switch status {
	case http.StatusUnauthorized:
		w.Header().Set("WWW-Authenticate", "Bearer")
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	writeJSON(w, status, "application/problem+json", body)
}

// writeJSON encodes the whole response before it sends the status, so that an
// encoding failure is not sent with a success status.
func writeJSON(w http.ResponseWriter, status int, contentType string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		klog.ErrorS(err, "encode operator API response", "type", contentType)
		status, contentType = http.StatusInternalServerError, "application/problem+json"
		data = []byte(`{"problem":{"kind":"internal","remedy":"see the log of the node"}}`)
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
