package configcheck_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bronzewinch.dev/lib/configcheck"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

func route(line configcheck.Line, name task.QueueName, priority task.Priority) configcheck.Route {
	return configcheck.Route{Line: line, Host: "h", Prefix: "/" + string(name) + "/", Timeout: 3 * time.Second,
		Queue: task.Queue{Name: name, Service: "s", Priority: priority, Attempts: 2, Slack: 1.5, Target: time.Second}}
}

// sound returns a configuration without faults.
func sound() configcheck.Config {
	return configcheck.Config{Version: 2, Routes: []configcheck.Route{route(2, "first", 0), route(3, "second", 1)},
		Services: []configcheck.Service{{Line: 5, Name: "s"}}, Limits: configcheck.Limits{HeadSize: 100, BodySize: 100},
		Accounts: []configcheck.Account{{Line: 7, Name: "a", Keys: []string{"k1"}, Guaranteed: 4}, {Line: 8, Name: "b", Keys: []string{"k2"}}}}
}

var (
	fleet = configcheck.Fleet{"s": unit.Resources{Accelerators: 8}}
	nodes = configcheck.Limits{HeadSize: 100, BodySize: 100}
)

// TestCheck guards against a fault that is not found, found at the wrong line, or has no
// remedy, and against findings in a sound configuration.
func TestCheck(t *testing.T) {
	for _, test := range []struct {
		name     string
		change   func(c *configcheck.Config)
		severity configcheck.Severity // none if empty
		line     configcheck.Line
		field    string
	}{
		{"sound", func(*configcheck.Config) {}, "", 0, ""},
		{"no name", func(c *configcheck.Config) { c.Routes[1].Name = "" }, configcheck.Error, 3, "name"},
		{"name twice", func(c *configcheck.Config) { c.Routes[1].Name = "first" }, configcheck.Error, 3, "name"},
		{"host with port", func(c *configcheck.Config) { c.Routes[0].Host = "h:80" }, configcheck.Error, 2, "host"},
		{"host in capitals", func(c *configcheck.Config) { c.Routes[0].Host = "H" }, configcheck.Warning, 2, "host"},
		{"no host", func(c *configcheck.Config) { c.Routes[0].Host = "" }, configcheck.Error, 2, "host"},
		{"prefix without slash", func(c *configcheck.Config) { c.Routes[0].Prefix = "first/" }, configcheck.Error, 2, "prefix"},
		{"prefix with query", func(c *configcheck.Config) { c.Routes[0].Prefix = "/f?/" }, configcheck.Error, 2, "prefix"},
		{"prefix without end", func(c *configcheck.Config) { c.Routes[0].Prefix = "/f" }, configcheck.Warning, 2, "prefix"},
		{"prefix twice", func(c *configcheck.Config) { c.Routes[1].Prefix = "/first/" }, configcheck.Error, 3, "prefix"},
		{"prefix that takes job ids", func(c *configcheck.Config) { c.Routes[1].Prefix = "/first/0a" }, configcheck.Warning, 3, "prefix"},
		{"longer prefix that takes none", func(c *configcheck.Config) { c.Routes[1].Prefix = "/first/x/" }, "", 0, ""},
		{"same prefix on another host", func(c *configcheck.Config) { c.Routes[1].Prefix, c.Routes[1].Host = "/first/", "other" }, "", 0, ""},
		{"unknown service", func(c *configcheck.Config) { c.Routes[1].Service = "x" }, configcheck.Error, 3, "service"},
		{"no service", func(c *configcheck.Config) { c.Routes[1].Service = "" }, configcheck.Error, 3, "service"},
		{"no attempts", func(c *configcheck.Config) { c.Routes[1].Attempts = 0 }, configcheck.Error, 3, "attempts"},
		{"slack below one", func(c *configcheck.Config) { c.Routes[1].Slack = 0.5 }, configcheck.Warning, 3, "slack"},
		{"negative target", func(c *configcheck.Config) { c.Routes[1].Target = -1 }, configcheck.Error, 3, "target"},
		{"negative priority", func(c *configcheck.Config) { c.Routes[1].Priority = -1 }, configcheck.Error, 3, "priority"},
		{"target above the time-out", func(c *configcheck.Config) { c.Routes[1].Target = time.Minute }, configcheck.Warning, 3, "target"},
		{"nobody may call", func(c *configcheck.Config) { c.Accounts = nil }, configcheck.Error, 2, "public"},
		{"service twice", func(c *configcheck.Config) { c.Services = append(c.Services, configcheck.Service{Line: 6, Name: "s"}) }, configcheck.Error, 6, "service"},
		{"service that no route uses", func(c *configcheck.Config) { c.Services = append(c.Services, configcheck.Service{Line: 6, Name: "t"}) }, configcheck.Warning, 6, "service"},
		{"service without workers", func(c *configcheck.Config) {
			c.Services = append(c.Services, configcheck.Service{Line: 6, Name: "t"})
			c.Routes[1].Service = "t"
		}, configcheck.Warning, 6, "service"},
		{"account twice", func(c *configcheck.Config) { c.Accounts[1].Name = "a" }, configcheck.Error, 8, "name"},
		{"key of two accounts", func(c *configcheck.Config) { c.Accounts[1].Keys = []string{"k1"} }, configcheck.Error, 8, "api_keys"},
		{"key twice", func(c *configcheck.Config) { c.Accounts[1].Keys = []string{"k2", "k2"} }, configcheck.Warning, 8, "api_keys"},
		{"empty key", func(c *configcheck.Config) { c.Accounts[1].Keys = []string{""} }, configcheck.Error, 8, "api_keys"},
		{"no key", func(c *configcheck.Config) { c.Accounts[1].Keys = nil }, configcheck.Warning, 8, "api_keys"},
		{"negative guarantee", func(c *configcheck.Config) { c.Accounts[1].Guaranteed = -1 }, configcheck.Error, 8, "guaranteed"},
		{"guarantees above the capacity", func(c *configcheck.Config) { c.Accounts[1].Guaranteed = 5 }, configcheck.Error, 0, "guaranteed"},
		{"guarantees of all", func(c *configcheck.Config) { c.Accounts[1].Guaranteed = 4 }, configcheck.Warning, 0, "guaranteed"},
		{"guarantee that can't be used", func(c *configcheck.Config) { c.Routes[0].Priority = 1 }, configcheck.Warning, 0, "guaranteed"},
		{"bodies larger than nodes accept", func(c *configcheck.Config) { c.Limits.BodySize = 101 }, configcheck.Warning, 0, "max_body_bytes"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := sound()
			test.change(&c)
			found := configcheck.Check(c, fleet, nodes)
			if test.severity == "" {
				is.Equal(found, nil)
				return
			}
			is.True(len(found) > 0)
			f := found[0]
			is.Equal(f.Severity, test.severity)
			is.Equal(f.Line, test.line)
			is.True(strings.Contains(f.Field, test.field))
			is.True(f.Remedy != "")
			is.Equal(configcheck.HasErrors(found), test.severity == configcheck.Error)
			for _, f := range found {
				is.True(!strings.Contains(fmt.Sprint(f), "k1") && !strings.Contains(fmt.Sprint(f), "k2")) // no key is shown
			}
		})
	}
}

// TestDiff guards against a difference that is not shown, and against keys that are shown.
func TestDiff(t *testing.T) {
	is := is.New(t)
	now, next := sound(), sound()
	is.Equal(configcheck.Diff(now, next), nil)
	next.Version = 3
	next.Routes[0].Priority = 2
	next.Routes[1].Name = "third"
	next.Accounts[0].Keys = []string{"k3"}
	next.Accounts = next.Accounts[:1]
	changes := configcheck.Diff(now, next)
	var got []string
	for _, c := range changes {
		got = append(got, c.Mark+c.Entry)
		is.True(!strings.Contains(fmt.Sprint(c), "k3"))
	}
	is.Equal(got, []string{"~route first", "-route second", "+route third", "~tenant a", "-tenant b"})
	is.Equal(changes[0].Fields, []configcheck.FieldChange{{Field: "priority", Old: "0", New: "2"}})
	is.Equal(len(configcheck.CheckSuccessor(now, next)), 1) // the priority
	next.Version = 2
	is.True(configcheck.HasErrors(configcheck.CheckSuccessor(now, next)))
	is.Equal(len(configcheck.CheckSuccessor(next, configcheck.Config{Version: 9})), 1) // the guarantee
}

// TestHugeConfiguration guards against a check that does not end for a configuration of very
// many routes and accounts.
func TestHugeConfiguration(t *testing.T) {
	is := is.New(t)
	c := sound()
	for n := range 20000 {
		c.Routes = append(c.Routes, route(configcheck.Line(n), task.QueueName(fmt.Sprint("r", n)), 1))
		c.Accounts = append(c.Accounts, configcheck.Account{Name: id.Account(fmt.Sprint("a", n)), Keys: []string{fmt.Sprint("key", n)}})
	}
	is.Equal(configcheck.Check(c, fleet, nodes), nil)
	is.Equal(configcheck.Diff(c, c), nil)
}
