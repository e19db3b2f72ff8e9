// Package configcheck finds faults in a configuration of the cooperative platform before
// it is sent, and what differs from another one. It reads no files.
package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/token"
	"bronzewinch.dev/lib/unit"
)

// Line is the line of an entry in the file, from 1. Zero means the file as a whole.
type Line int

// Route is a queue with the host and prefix that lead to it.
type Route struct {
	Line
	task.Queue
	Host, Prefix string
	Timeout      time.Duration
	Public       bool
}

// Service is a service that runs the tasks of queues.
type Service struct {
	Line
	Name id.Service
}

// Account is a client account.
type Account struct {
	Line
	Name       id.Account
	Keys       []string
	Guaranteed unit.Accelerators
}

// Limits are the limits of requests in a configuration, or zero.
type Limits struct {
	HeadSize, BodySize unit.Bytes
}

// Config is a decoded configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Fleet is the capacity of the workers of each service.
type Fleet map[id.Service]unit.Resources

// Severity tells whether a configuration should be sent in spite of a finding.
type Severity string

// The severities.
const (
	// Error means that the configuration does not do what it says.
	Error Severity = "error"
	// Warning means that it probably does not do what was meant.
	Warning Severity = "warning"
)

// Finding is a fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Line     Line     `json:"line,omitempty"`
	problem.Detail
}

type checker struct {
	config   Config
	fleet    Fleet // nil if it is not known
	limits   Limits
	findings []Finding
}

// Check returns the faults of a configuration in the order of their lines. The fleet may be
// nil. The limits are those of the nodes.
func Check(c Config, fleet Fleet, nodes Limits) []Finding {
	ch := &checker{config: c, fleet: fleet, limits: nodes}
	ch.checkRoutes()
	ch.checkHidden()
	ch.checkServices()
	ch.checkAccounts()
	ch.checkGuarantees()
	ch.checkLimits()
	slices.SortStableFunc(ch.findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return ch.findings
}

// HasErrors reports whether a finding is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

func (c *checker) add(s Severity, line Line, field, value, limit, remedy string) {
	c.findings = append(c.findings, Finding{s, line, problem.Detail{Field: field, Value: value, Limit: limit, Remedy: remedy}})
}

// maxAttempts is a number of attempts above which a task that always fails keeps workers
// busy for long.
const maxAttempts = 100

func (c *checker) checkRoutes() {
	services := make(map[id.Service]bool)
	for _, s := range c.config.Services {
		services[s.Name] = true
	}
	names := make(map[task.QueueName]Line)
	for _, r := range c.config.Routes {
		field := func(name string) string { return fmt.Sprintf("route %s %s", r.Name, name) }
		if first, ok := names[r.Name]; ok {
			c.add(Error, r.Line, field("name"), string(r.Name), "one route of each name", fmt.Sprintf("rename it; line %d has a route of this name", first))
		} else {
			names[r.Name] = r.Line
		}
		if r.Name == "" {
			c.add(Error, r.Line, "route name", "", "a name", "name the route")
		}
		c.checkMatch(r, field)
		switch {
		case r.Service == "":
			c.add(Error, r.Line, field("service"), "", "a service", "name the service that runs its tasks")
		case !services[r.Service]:
			c.add(Error, r.Line, field("service"), string(r.Service), "a service of the configuration", "add the service, or correct the name")
		}
		if r.Priority < 0 {
			c.add(Error, r.Line, field("priority"), fmt.Sprint(r.Priority), "0 or more", "use 0 for the first priority")
		}
		if r.Attempts < 1 || r.Attempts > maxAttempts {
			c.add(Error, r.Line, field("attempts"), fmt.Sprint(r.Attempts), fmt.Sprintf("1 to %d", maxAttempts), "with 0, a job fails by its first failed run")
		}
		if r.Slack < 1 {
			c.add(Warning, r.Line, field("slack_factor"), fmt.Sprint(r.Slack), "1 or more", "no job can meet an objective below its own run time")
		}
		if r.Target < 0 {
			c.add(Error, r.Line, field("target_latency_ms"), r.Target.String(), "0 or more", "correct the target")
		}
		if r.Timeout > 0 && r.Target > r.Timeout {
			c.add(Warning, r.Line, field("target_latency_ms"), r.Target.String(), "at most the time-out of "+r.Timeout.String(), "raise the time-out, or lower the target")
		}
		if !r.Public && len(c.config.Accounts) == 0 {
			c.add(Error, r.Line, field("public"), "false", "an account whose keys may call it", "add an account, or make the route public")
		}
	}
}

// checkMatch finds hosts and prefixes that no call has.
func (c *checker) checkMatch(r Route, field func(string) string) {
	switch {
	case r.Host == "":
		c.add(Error, r.Line, field("host"), "", "a host", "name the host of its calls")
	case strings.ContainsRune(r.Host, ':'):
		c.add(Error, r.Line, field("host"), r.Host, "a host without port", "remove the port; it is cut from the host of a call, so this route never matches")
	case strings.ToLower(r.Host) != r.Host:
		c.add(Warning, r.Line, field("host"), r.Host, "lower-case letters", "write it as clients send it; hosts are compared letter for letter")
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/"):
		c.add(Error, r.Line, field("prefix"), r.Prefix, "a path that begins with /", "add the slash; this route never matches")
	case strings.ContainsAny(r.Prefix, "?#%"):
		c.add(Error, r.Line, field("prefix"), r.Prefix, "a path without ?, # and %", "remove them; paths are compared without query and escapes, so this route never matches")
	case !strings.HasSuffix(r.Prefix, "/"):
		c.add(Warning, r.Line, field("prefix"), r.Prefix, "a path that ends with /", "add the slash; otherwise job ids follow the last letter")
	}
}

// checkHidden finds routes that get no calls, or not all, because of another route of
// their host. Of two routes with the same prefix the first is used, and otherwise the one
// with the longer prefix.
func (c *checker) checkHidden() {
	byHost := make(map[string][]Route)
	for _, r := range c.config.Routes {
		byHost[r.Host] = append(byHost[r.Host], r)
	}
	for _, routes := range byHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(a.Prefix, b.Prefix) })
		for i, r := range routes {
			// All routes whose prefix begins with this one follow it.
			for _, longer := range routes[i+1:] {
				rest, ok := strings.CutPrefix(longer.Prefix, r.Prefix)
				if !ok {
					break
				}
				if rest == "" {
					c.add(Error, longer.Line, fmt.Sprintf("route %s prefix", longer.Name), longer.Host+longer.Prefix, "one route for each host and prefix",
						fmt.Sprintf("remove it, or change its prefix; route %s of line %d gets its calls", r.Name, r.Line))
				} else if strings.Trim(rest, "0123456789abcdefABCDEF") == "" {
					c.add(Warning, longer.Line, fmt.Sprintf("route %s prefix", longer.Name), longer.Prefix, "a prefix that no job id continues",
						fmt.Sprintf("change it; it gets the jobs of route %s whose ids begin with %s", r.Name, rest))
				}
			}
		}
	}
}

func (c *checker) checkServices() {
	used := make(map[id.Service]bool)
	for _, r := range c.config.Routes {
		used[r.Service] = true
	}
	names := make(map[id.Service]Line)
	for _, s := range c.config.Services {
		field := fmt.Sprintf("service %s", s.Name)
		if first, ok := names[s.Name]; ok {
			c.add(Error, s.Line, field, string(s.Name), "one service of each name", fmt.Sprintf("remove it; line %d has a service of this name", first))
		}
		names[s.Name] = s.Line
		if !used[s.Name] {
			c.add(Warning, s.Line, field, string(s.Name), "a route that uses it", "add a route, or remove the service")
		}
		if _, ok := c.fleet[s.Name]; c.fleet != nil && !ok && used[s.Name] {
			c.add(Warning, s.Line, field, string(s.Name), "at least one worker", "add workers; jobs of its routes wait until there are some")
		}
	}
}

func (c *checker) checkAccounts() {
	names, keys := make(map[id.Account]Line), make(map[string]id.Account)
	for _, a := range c.config.Accounts {
		field := func(name string) string { return fmt.Sprintf("tenant %s %s", a.Name, name) }
		if first, ok := names[a.Name]; ok || a.Name == "" {
			c.add(Error, a.Line, field("name"), string(a.Name), "one tenant of each name", fmt.Sprintf("name it otherwise; see line %d", first))
		}
		names[a.Name] = a.Line
		if len(a.Keys) == 0 {
			c.add(Warning, a.Line, field("api_keys"), "", "a key", "add a key; nobody can call for this tenant")
		}
		for _, k := range a.Keys {
			other, ok := keys[k]
			switch {
			case k == "":
				c.add(Error, a.Line, field("api_keys"), "", "keys that are not empty", "remove the empty key; calls without a key are refused")
			case ok && other == a.Name:
				c.add(Warning, a.Line, field("api_keys"), fingerprint(k), "each key once", "remove the second one")
			case ok:
				c.add(Error, a.Line, field("api_keys"), fingerprint(k), "keys of one tenant each",
					fmt.Sprintf("give one of them another key; tenant %s has it too, and calls count for the last one", other))
			}
			keys[k] = a.Name
		}
		if a.Guaranteed < 0 {
			c.add(Error, a.Line, field("guaranteed"), fmt.Sprint(a.Guaranteed), "0 or more", "correct the number")
		}
	}
}

// fingerprint names a key without showing it.
func fingerprint(key string) string {
	const digits = 8
	return "hash " + string(token.New(key).Hash())[:digits]
}

func (c *checker) checkGuarantees() {
	var guaranteed unit.Accelerators
	for _, a := range c.config.Accounts {
		guaranteed += a.Guaranteed
	}
	first := slices.ContainsFunc(c.config.Routes, func(r Route) bool { return r.Priority == 0 })
	lower := slices.ContainsFunc(c.config.Routes, func(r Route) bool { return r.Priority > 0 })
	if guaranteed > 0 && !first {
		c.add(Warning, 0, "guaranteed", fmt.Sprint(guaranteed), "a route of priority 0", "guarantees count for jobs of priority 0 only; add such a route, or remove the guarantees")
	}
	if c.fleet == nil {
		return
	}
	var capacity unit.Accelerators
	for _, s := range slices.Sorted(maps.Keys(c.fleet)) {
		capacity += c.fleet[s].Accelerators
	}
	switch {
	case guaranteed > capacity:
		c.add(Error, 0, "guaranteed", fmt.Sprint(guaranteed), fmt.Sprintf("at most the %d accelerators of the workers", capacity), "lower the guarantees, or add workers")
	case guaranteed == capacity && guaranteed > 0 && lower:
		c.add(Warning, 0, "guaranteed", fmt.Sprint(guaranteed), fmt.Sprintf("less than the %d accelerators of the workers", capacity),
			"lower the guarantees; while all are used, jobs of other priorities do not run at all")
	}
}

func (c *checker) checkLimits() {
	for _, l := range []struct {
		field       string
		config, own unit.Bytes
	}{{"limits max_header_bytes", c.config.Limits.HeadSize, c.limits.HeadSize}, {"limits max_body_bytes", c.config.Limits.BodySize, c.limits.BodySize}} {
		if l.config > l.own && l.own > 0 {
			c.add(Warning, 0, l.field, l.config.String(), "at most the "+l.own.String()+" that nodes accept", "lower it; clients that use it are refused")
		}
	}
}
