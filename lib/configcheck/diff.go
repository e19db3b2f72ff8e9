package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
)

// Change is what differs between two configurations in one entry.
type Change struct {
	// Entry names the entry, and Mark is "+" for one that is added, "-" for one that is
	// removed and "~" for one that differs.
	Entry string `json:"entry"`
	Mark  string `json:"mark"`
	// Fields holds the fields that differ.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is a field with its old and new value.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// entry is an entry of a configuration as named values.
type entry map[string]string

// Diff returns what differs between the configuration in force and another one.
func Diff(inForce, next Config) []Change {
	old, changed := entries(inForce), entries(next)
	names := make(map[string]bool)
	for name := range maps.Keys(old) {
		names[name] = true
	}
	for name := range maps.Keys(changed) {
		names[name] = true
	}
	var all []Change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, hadIt := old[name]
		after, hasIt := changed[name]
		switch {
		case !hadIt:
			all = append(all, Change{Entry: name, Mark: "+"})
		case !hasIt:
			all = append(all, Change{Entry: name, Mark: "-"})
		case !maps.Equal(before, after):
			c := Change{Entry: name, Mark: "~"}
			for _, field := range slices.Sorted(maps.Keys(after)) {
				if before[field] != after[field] {
					c.Fields = append(c.Fields, FieldChange{field, before[field], after[field]})
				}
			}
			all = append(all, c)
		}
	}
	return all
}

// CheckSuccessor returns the faults of a configuration as the successor of one in force.
func CheckSuccessor(inForce, next Config) []Finding {
	c := &checker{}
	if next.Version <= inForce.Version {
		c.add(Error, 0, "version", fmt.Sprint(next.Version), fmt.Sprintf("more than %d, the version in force", inForce.Version), "raise the version")
	}
	priorities := make(map[task.QueueName]task.Priority)
	for _, r := range inForce.Routes {
		priorities[r.Name] = r.Priority
	}
	for _, r := range next.Routes {
		if was, ok := priorities[r.Name]; ok && was != r.Priority {
			c.add(Warning, r.Line, fmt.Sprintf("route %s priority", r.Name), fmt.Sprint(r.Priority), fmt.Sprintf("%d as in force", was),
				"check that it is meant; it holds for jobs that were accepted before, too")
		}
	}
	guaranteed := make(map[id.Account]bool)
	for _, a := range next.Accounts {
		guaranteed[a.Name] = true
	}
	for _, a := range inForce.Accounts {
		if !guaranteed[a.Name] && a.Guaranteed > 0 {
			c.add(Warning, 0, fmt.Sprintf("tenant %s", a.Name), "removed", "", fmt.Sprintf("check that it is meant; its guarantee of %d accelerators ends for accepted jobs, too", a.Guaranteed))
		}
	}
	return c.findings
}

func entries(c Config) map[string]entry {
	all := map[string]entry{
		"limits": {"headSize": c.Limits.HeadSize.String(), "bodySize": c.Limits.BodySize.String()},
	}
	for _, r := range c.Routes {
		all["route "+string(r.Name)] = entry{"host": r.Host, "prefix": r.Prefix, "service": string(r.Service), "priority": fmt.Sprint(r.Priority),
			"attempts": fmt.Sprint(r.Attempts), "slack": fmt.Sprint(r.Slack), "target": r.Target.String(), "timeout": r.Timeout.String(),
			"public": fmt.Sprint(r.Public), "advised": fmt.Sprint(r.Advised)}
	}
	for _, s := range c.Services {
		all["service "+string(s.Name)] = entry{}
	}
	for _, a := range c.Accounts {
		var keys []string
		for _, k := range a.Keys {
			keys = append(keys, fingerprint(k))
		}
		slices.Sort(keys)
		all["tenant "+string(a.Name)] = entry{"keys": strings.Join(keys, ", "), "guaranteed": fmt.Sprint(a.Guaranteed)}
	}
	return all
}
