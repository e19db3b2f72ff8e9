package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strconv"
	"strings"

	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
)

// input is a decoded request with its caller.
type input[Req any] struct {
	caller Caller
	req    Req
}

// handle returns the HTTP handler for one kind of request. It authenticates,
// authorizes, decodes and runs the request in stages with their own metrics, and
// then encodes the response.
func handle[Req, Resp any](f *Frontend, name string, access Access, run func(context.Context, Caller, Req) (Resp, error)) http.HandlerFunc {
	stage := func(s string) string { return "operator/" + name + "/" + s }
	decodeStage := func(ctx context.Context, c call) (input[Req], error) { return decode[Req](f, c) }
	runStage := func(ctx context.Context, in input[Req]) (Resp, error) { return run(ctx, in.caller, in.req) }
	stages := pipe.Then(pipe.Then(pipe.Then(
		pipe.Instrument(f.Metrics, stage("authenticate"), pipe.Func[*http.Request, call](f.authenticate)),
		pipe.Instrument(f.Metrics, stage("authorize"), pipe.Func[call, call](authorize(access)))),
		pipe.Instrument(f.Metrics, stage("decode"), pipe.Func[call, input[Req]](decodeStage))),
		pipe.Instrument(f.Metrics, stage("run"), pipe.Func[input[Req], Resp](runStage)))
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, int64(f.MaxBody))
		resp, err := stages.Process(r.Context(), r)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, "application/json", resp)
	}
}

// decode decodes the body, path parameters and query parameters into a request.
func decode[Req any](f *Frontend, c call) (input[Req], error) {
	in := input[Req]{caller: c.caller}
	if c.http.Method != http.MethodGet {
		if err := decodeBody(c.http.Body, &in.req); err != nil {
			return in, err
		}
	}
	return in, bindParameters(c.http, reflect.ValueOf(&in.req).Elem())
}

func decodeBody(body io.Reader, into any) error {
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		if _, err = d.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		return problem.New(problem.Invalid, problem.Detail{Field: "body", Limit: "one JSON value", Remedy: "remove the data after the first JSON value"})
	}
	var size *http.MaxBytesError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &size):
		return errors.Mark(problem.New(problem.Invalid, problem.Detail{Field: "body", Limit: fmt.Sprintf("%d bytes", size.Limit), Remedy: "split the request"}), errTooLarge)
	case errors.As(err, &kind):
		return problem.New(problem.Invalid, problem.Detail{Field: kind.Field, Value: kind.Value, Limit: kind.Type.String(), Remedy: "see docs/api.md"})
	case strings.HasPrefix(err.Error(), "json: unknown field "):
		name, _ := strconv.Unquote(strings.TrimPrefix(err.Error(), "json: unknown field "))
		return problem.New(problem.Invalid, problem.Detail{Field: name, Limit: "a known field", Remedy: "see docs/api.md"})
	}
	return problem.New(problem.Invalid, problem.Detail{Field: "body", Limit: "JSON", Remedy: "send the whole request as docs/api.md describes it"})
}

// errTooLarge marks errors that are returned as status 413.
var errTooLarge = errors.New("request too large")

// bindParameters sets the fields with the tags `path` and `query`. An unknown query
// parameter is an error, like an unknown field in a body.
func bindParameters(r *http.Request, into reflect.Value) error {
	known := make(map[string]bool)
	query := r.URL.Query()
	if into.Kind() == reflect.Struct {
		for _, sf := range reflect.VisibleFields(into.Type()) {
			text, name := "", ""
			if name = sf.Tag.Get("path"); name != "" {
				text = chi.URLParam(r, name)
			} else if name = sf.Tag.Get("query"); name != "" {
				text, known[name] = query.Get(name), true
			}
			if err := setField(into.FieldByIndex(sf.Index), name, text); err != nil {
				return err
			}
		}
	}
	for name := range query {
		if !known[name] {
			return problem.New(problem.Invalid, problem.Detail{Field: name, Limit: "a known parameter", Remedy: "see docs/api.md"})
		}
	}
	return nil
}

func setField(field reflect.Value, name, text string) error {
	if text == "" {
		return nil
	}
	switch {
	case field.Kind() == reflect.String:
		field.SetString(text)
		return nil
	case field.CanInt():
		if n, err := strconv.ParseInt(text, 10, 32); err == nil && n >= 0 {
			field.SetInt(n)
			return nil
		}
	case field.CanUint():
		if n, err := strconv.ParseUint(text, 10, 64); err == nil {
			field.SetUint(n)
			return nil
		}
	}
	return problem.New(problem.Invalid, problem.Detail{Field: name, Value: text, Limit: "a whole number, 0 or more", Remedy: "correct the parameter"})
}
