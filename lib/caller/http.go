package caller

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bronzewinch.dev/lib/answers"
	"bronzewinch.dev/lib/backend"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"

	"github.com/go-chi/chi/v5"
)

const (
	// HeaderIdempotent is "true" or "false". Without it a GET is idempotent, and
	// a POST is retried only if the attempt certainly did not run.
	HeaderIdempotent = "Bronzewinch-Idempotent"

	maxHeaders = 64
	maxIDLen   = 128
	// maxTimeout is the maximum value of Bronzewinch-Deadline.
	maxTimeout = 24 * time.Hour
)

// Handler returns the HTTP handler for callers.
func (f *Frontend) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/services/{service}/*", f.serveRequest)
	r.Get("/v1/services/{service}/*", f.serveRequest)
	r.Get("/v1/requests/{id}", f.serveFetch)
	r.Get("/readyz", f.serveReady)
	return r
}

func (f *Frontend) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !f.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (f *Frontend) serveRequest(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Time{}) // clears the deadline of the previous request
	if r.ContentLength != 0 {
		f.config.ServerLimits.setBodyDeadline(control)
	}
	in, err := f.decode(r)
	in.ReadBody = func(limit unit.Bytes) ([]byte, error) {
		body, err := readBody(r, limit)
		if err == nil {
			_ = control.SetReadDeadline(time.Time{})
		}
		return body, err
	}
	if err != nil {
		f.writeError(w, in, failed(outcome.NotRun, 0, err))
		return
	}
	reply, err := f.Serve(r.Context(), in)
	if err != nil {
		f.writeError(w, in, err)
		return
	}
	f.writeResponse(w, in.ID, reply.Response)
}

// decode reads the request line and headers. Together with an error it returns the
// part of the request that was decoded, so that the response can name its id.
func (f *Frontend) decode(r *http.Request) (*Request, error) {
	in := &Request{
		Token:      bearer(r.Header),
		Service:    id.Service(chi.URLParam(r, "service")),
		Arrived:    f.config.Clock.Now(),
		Method:     r.Method,
		Header:     r.Header,
		BodySize:   unit.Bytes(r.ContentLength),
		Idempotent: r.Method == http.MethodGet,
	}
	if len(r.Header) > maxHeaders {
		return in, invalid("headers", strconv.Itoa(len(r.Header)), "64 names", "send fewer headers")
	}
	if limit := f.config.ServerLimits.HeaderSize; headerSize(r.Header) > limit {
		return in, invalid("headers", "", limit.String(), "send smaller headers")
	}
	in.Target = target(r, in.Service)
	var err error
	if in.ID, err = ParseID(r.Header.Get(backend.HeaderRequestID)); err != nil {
		return in, err
	}
	if in.Timeout, err = ParseDeadline(r.Header.Get(backend.HeaderDeadline)); err != nil {
		return in, err
	}
	switch v := r.Header.Get(HeaderIdempotent); v {
	case "":
	case "true":
		in.Idempotent = true
	case "false":
		in.Idempotent, in.AtMostOnce = false, true
	default:
		return in, invalid(HeaderIdempotent, v, "true or false", "send one of these")
	}
	return in, nil
}

// target returns the path after the name of the service, escaped as received, and
// the query.
func target(r *http.Request, service id.Service) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+string(service))
	if r.URL.RawQuery != "" {
		return path + "?" + r.URL.RawQuery
	}
	return path
}

func bearer(h http.Header) Token {
	scheme, token, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return Token(strings.TrimSpace(token))
}

// ParseID checks a request id chosen by a caller: at most 128 letters, digits, '.',
// '_', ':' and '-'. It returns an empty id for an empty string.
func ParseID(s string) (id.Request, error) {
	if len(s) > maxIDLen || strings.ContainsFunc(s, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("._:-", r)
	}) {
		return "", invalid("request id", "", "128 letters, digits, '.', '_', ':' and '-'", "choose another id")
	}
	return id.Request(s), nil
}

// ParseDeadline parses a number of milliseconds, at least 1 and at most 24 hours. It
// returns zero for an empty string.
func ParseDeadline(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return 0, invalid(backend.HeaderDeadline, "", "1 to 86400000 milliseconds", "send a whole number")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func invalid(field, value, limit, remedy string) error {
	return problem.New(problem.Invalid, problem.Detail{Field: field, Value: value, Limit: limit, Remedy: remedy})
}

// readBody reads at most one byte more than the limit.
func readBody(r *http.Request, limit unit.Bytes) (body []byte, err error) {
	if n := r.ContentLength; n >= 0 && n <= int64(limit) {
		body = make([]byte, n)
		_, err = io.ReadFull(r.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	}
	if err != nil {
		return nil, invalid("body", "", "", "send the whole body, without long pauses")
	}
	return body, nil
}

func (f *Frontend) serveFetch(w http.ResponseWriter, r *http.Request) {
	in := &Request{Token: bearer(r.Header)}
	var err error
	if in.ID, err = ParseID(chi.URLParam(r, "id")); err != nil || in.ID == "" {
		f.writeError(w, in, failed(outcome.Unknown, 0, invalid("request id", "", "", "give the id of a request")))
		return
	}
	response, err := f.Fetch(r.Context(), in.Token, in.ID)
	if err != nil {
		f.writeError(w, in, err)
		return
	}
	f.writeResponse(w, in.ID, response)
}

func (f *Frontend) writeResponse(w http.ResponseWriter, request id.Request, response answers.Response) {
	h := w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	f.writeOutcome(h, request, outcome.Done)
	h["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	setWriteDeadline(w)
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // a caller whose connection broke can fetch the response later
}

func (f *Frontend) writeOutcome(h http.Header, request id.Request, o outcome.Outcome) {
	h[backend.HeaderOutcome] = []string{string(o)}
	if request != "" {
		h[backend.HeaderRequestID] = []string{string(request)}
	}
	if !f.Ready() {
		h["Connection"] = []string{"close"}
	}
}

// errorBody is the JSON form of a failure.
type errorBody struct {
	Outcome outcome.Outcome `json:"outcome"`
	Request id.Request      `json:"request,omitempty"`
	*problem.Error
}

func (f *Frontend) writeError(w http.ResponseWriter, in *Request, err error) {
	failure := FailureOf(err)
	typed := problem.As(err)
	h := w.Header()
	f.writeOutcome(h, in.ID, failure.Outcome)
	h.Set("Content-Type", "application/json")
	if failure.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
	setWriteDeadline(w)
	w.WriteHeader(status(typed.Kind))
	_ = json.NewEncoder(w).Encode(errorBody{failure.Outcome, in.ID, typed})
}

func status(kind problem.Kind) int {
	switch kind {
	case problem.Invalid, problem.NeverFits:
		return http.StatusBadRequest
	case problem.Unauthenticated:
		return http.StatusUnauthorized
	case problem.Denied:
		return http.StatusForbidden
	case problem.NotFound:
		return http.StatusNotFound
	case problem.Conflict:
		return http.StatusConflict
	case problem.Overloaded:
		return http.StatusTooManyRequests
	case problem.Unavailable, problem.Fenced, problem.NotOwner:
		return http.StatusServiceUnavailable
	case problem.Expired:
		return http.StatusGatewayTimeout
	case problem.Unknown:
		return http.StatusBadGateway
	}
	return http.StatusInternalServerError
}
