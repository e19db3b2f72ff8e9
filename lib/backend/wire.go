package backend

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/problem"
)

// The headers between entry nodes and backend servers.
const (
	HeaderRequestID = "Bronzewinch-Request-Id"
	HeaderAttempt   = "Bronzewinch-Attempt"
	HeaderDeadline  = "Bronzewinch-Deadline" // remaining time in milliseconds
	HeaderLoad      = "Bronzewinch-Load"     // number of requests running on the backend server
	HeaderOutcome   = "Bronzewinch-Outcome"
)

// reservedPrefix is the prefix of headers that are not forwarded, because only
// entry nodes and backend servers set them.
const reservedPrefix = "Bronzewinch-"

// hopByHop lists headers that apply to a single connection, so they are not
// forwarded (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// Forwardable reports whether a header is forwarded between callers and backend
// servers. Authorization is not, because it contains the caller's token.
func Forwardable(name string) bool {
	return !hopByHop[name] && !strings.HasPrefix(name, reservedPrefix) && name != "Authorization"
}

// appendRequest appends the head of the request to buf.
func appendRequest(buf []byte, address string, r *Request, remaining time.Duration) []byte {
	buf = append(buf, r.Method...)
	buf = append(buf, ' ')
	buf = append(buf, r.Target...)
	buf = append(buf, " HTTP/1.1\r\nHost: "...)
	buf = append(buf, address...)
	buf = appendHeader(buf, HeaderRequestID, string(r.ID))
	buf = append(buf, "\r\n"+HeaderAttempt+": "...)
	buf = strconv.AppendUint(buf, uint64(r.Attempt), 10)
	buf = append(buf, "\r\n"+HeaderDeadline+": "...)
	buf = strconv.AppendInt(buf, max(remaining.Milliseconds(), 1), 10)
	buf = append(buf, "\r\nContent-Length: "...)
	buf = strconv.AppendInt(buf, int64(len(r.Body)), 10)
	connection := r.Header["Connection"]
	for name, values := range r.Header {
		if !Forwardable(name) || listedIn(connection, name) {
			continue
		}
		for _, v := range values {
			buf = appendHeader(buf, name, v)
		}
	}
	return append(buf, "\r\n\r\n"...)
}

func appendHeader(buf []byte, name, value string) []byte {
	buf = append(buf, "\r\n"...)
	buf = append(buf, name...)
	buf = append(buf, ": "...)
	return append(buf, value...)
}

// listedIn reports whether a Connection header lists another header, which then
// applies to that connection only.
func listedIn(connection []string, name string) bool {
	for _, line := range connection {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}

// validate rejects a request that can't be written as exactly one HTTP request:
// with control characters in it, a caller could inject a second request.
func (r *Request) validate() error {
	if !printable(string(r.ID)) || !printable(r.Method) || !printable(r.Target) || !strings.HasPrefix(r.Target, "/") {
		return problem.New(problem.Invalid, problem.Detail{
			Field: "request line", Limit: "printable characters without spaces", Remedy: "escape the path"})
	}
	for _, values := range r.Header {
		for _, v := range values {
			if strings.ContainsAny(v, "\r\n\x00") {
				return problem.New(problem.Invalid, problem.Detail{
					Field: "header", Limit: "one line", Remedy: "remove line breaks"})
			}
		}
	}
	return nil
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != ""
}

// matchesAttempt reports whether the headers of a response echo the id and
// attempt of the request.
func matchesAttempt(h http.Header, request id.Request, attempt outcome.Attempt) bool {
	got, err := strconv.ParseUint(h.Get(HeaderAttempt), 10, 32)
	return err == nil && outcome.Attempt(got) == attempt && h.Get(HeaderRequestID) == string(request)
}

// parseLoad returns the load that a response reports, or -1 if it reports none.
func parseLoad(h http.Header) int {
	n, err := strconv.Atoi(h.Get(HeaderLoad))
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// forwardableHeader removes the headers that are not forwarded from h, and
// returns h.
func forwardableHeader(h http.Header) http.Header {
	connection := h["Connection"]
	for name := range h {
		if !Forwardable(name) || listedIn(connection, name) {
			delete(h, name)
		}
	}
	return h
}
