package command

import (
	"context"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"time"

	"bronzewinch.dev/bronzewinch/client"
	"bronzewinch.dev/lib/audit"
	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/replay"

	"github.com/integrii/flaggy"
)

// invariantTexts describes each invariant for the output.
var invariantTexts = map[audit.Invariant]string{
	audit.Capacity:       "no worker holds more than it has",
	audit.WholeGang:      "gangs are placed complete and within their locality",
	audit.Reclaimable:    "all unclaimed guaranteed shapes could be claimed",
	audit.ClaimStarts:    "no claim within its guarantee waits",
	audit.ClaimCovered:   "claims stay within their guarantees",
	audit.Victims:        "only whole opportunistic gangs are stopped, and only for claims",
	audit.Quota:          "opportunistic gangs stay within quotas",
	audit.NeverFits:      "permanently rejected jobs fit no declared zone",
	audit.Order:          "records are in order, under a known configuration",
	audit.InPlacement:    "no gang is placed on an excluded worker",
	audit.NoNeedlessWait: "no job waits for capacity or quota that is available",
	audit.Bypass:         "the oldest large job is bypassed a bounded number of times",
	audit.Urgent:         "urgent claims are placed within 3.6 s",
	replayInvariant:      "a replay makes the same decisions",
}

// replayInvariant is the invariant that a replay of the records makes the same
// decisions.
const replayInvariant audit.Invariant = "replay"

// AuditFinding is one violation of an invariant.
type AuditFinding struct {
	At        time.Time       `json:"at"`
	Job       id.Job          `json:"job,omitempty"`
	Invariant audit.Invariant `json:"promise"`
	Epoch     id.Epoch        `json:"epoch"`
	Version   uint64          `json:"version"`
	Reason    string          `json:"reason"`
}

// AuditZone is the result for one zone.
type AuditZone struct {
	Zone     id.Zone                 `json:"zone"`
	Records  int                     `json:"records"`
	Checked  map[audit.Invariant]int `json:"checked"`
	Findings []AuditFinding          `json:"findings"`
	// Unchecked lists what could not be checked and why.
	Unchecked []audit.Unchecked `json:"unchecked"`
}

// AuditResult is the result of an audit.
type AuditResult struct {
	Zones    []AuditZone `json:"zones"`
	Findings int         `json:"findings"`
}

type auditCommand struct {
	zone, from, to string
	json           bool
}

func (*auditCommand) Info() Info {
	return Info{Name: "audit", Args: "[LOG...]", MaxArgs: -1,
		Summary: "Check recorded decisions against all invariants, and replay them. With log files of nodes on the cooperative platform, check these logs.",
		Example: "bronzewinch audit -zone entoto -from 2026-11-01T00:00:00Z\nbronzewinch audit logs/*.log"}
}

func (c *auditCommand) Flags(sub *flaggy.Subcommand) {
	sub.String(&c.zone, "", "zone", "check this zone only")
	sub.String(&c.from, "", "from", "show findings from this time on (RFC 3339, or a date); earlier records are still read for the state")
	sub.String(&c.to, "", "to", "check records up to this time")
	sub.Bool(&c.json, "", "json", "the same as -o json")
}

func (c *auditCommand) Run(ctx context.Context, e *Env) error {
	if c.json {
		e.global.output = outputJSON
	}
	if len(e.Args) > 0 {
		return auditLogs(e)
	}
	from, err := parseTime("from", c.from)
	if err != nil {
		return err
	}
	to, err := parseTime("to", c.to)
	if err != nil {
		return err
	}
	cl, err := e.Client()
	if err != nil {
		return err
	}
	configs, err := newConfigCache(ctx, cl)
	if err != nil {
		return err
	}
	zones := slices.Sorted(maps.Keys(configs.current.Zones))
	if c.zone != "" {
		zones = []id.Zone{id.Zone(c.zone)}
	}
	result := AuditResult{Zones: []AuditZone{}}
	for _, zone := range zones {
		zoneResult, err := auditZone(ctx, cl, configs, zone, from, to)
		if err != nil {
			return err
		}
		result.Zones = append(result.Zones, zoneResult)
		result.Findings += len(zoneResult.Findings)
	}
	if err := show(e, result, func(t *table) { auditTable(t, result) }); err != nil {
		return err
	}
	if result.Findings > 0 {
		return &statusError{StatusFindings, fmt.Sprintf("%d findings; `bronzewinch explain JOB` shows the decisions about a job", result.Findings)}
	}
	return nil
}

func parseTime(flag, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	for _, layout := range []string{time.RFC3339Nano, time.DateOnly} {
		if at, err := time.Parse(layout, text); err == nil {
			return at, nil
		}
	}
	return time.Time{}, newUsageError(flag, text, "a time such as 2026-11-01T00:00:00Z, or a date", "correct the flag")
}

// auditZone checks one zone. It reads all retained records, since the resources
// that are allocated to gangs follow from all of them.
func auditZone(ctx context.Context, cl *client.Client, configs *configCache, zone id.Zone, from, to time.Time) (AuditZone, error) {
	records, err := fetchDecisions(ctx, cl, zone, to)
	if err != nil {
		return AuditZone{}, err
	}
	checker, replayer := audit.New(zone, configs), replay.New(zone, configs)
	// The first owner has epoch 1, and its state begins at version 1. If the
	// records start later, earlier ones are missing.
	if len(records) > 0 && (records[0].Epoch > 1 || records[0].Version > 1) {
		checker.MarkPartial()
		replayer.MarkPartial()
	}
	for _, r := range records {
		checker.Add(r)
		replayer.Add(r)
		if configs.err != nil {
			return AuditZone{}, configs.err
		}
		if ctx.Err() != nil {
			return AuditZone{}, ctx.Err()
		}
	}
	return summarize(zone, records, checker.Report(), replayer.Report(), from), nil
}

func summarize(zone id.Zone, records []decision.Record, checkReport audit.Report, replayReport replay.Report, from time.Time) AuditZone {
	z := AuditZone{Zone: zone, Records: len(records), Checked: checkReport.Checked, Findings: []AuditFinding{}, Unchecked: []audit.Unchecked{}}
	addFinding := func(invariant audit.Invariant, index int, reason string) {
		if r := records[index]; !r.At.Before(from) {
			z.Findings = append(z.Findings, AuditFinding{At: r.At, Job: r.Job, Invariant: invariant, Epoch: r.Epoch, Version: r.Version, Reason: reason})
		}
	}
	for _, f := range checkReport.Findings {
		addFinding(f.Invariant, f.Index, f.Detail)
	}
	for _, d := range replayReport.Differences {
		addFinding(replayInvariant, d.Index, d.Reason)
	}
	z.Checked[replayInvariant] = replayReport.Replayed
	z.Unchecked = append(z.Unchecked, checkReport.Unchecked...)
	if checkReport.Undecided > 0 {
		z.Unchecked = append(z.Unchecked, audit.Unchecked{Invariant: audit.Reclaimable, Reason: "the search reached its bound", Records: checkReport.Undecided})
	}
	for _, reason := range slices.Sorted(maps.Keys(replayReport.Skipped)) {
		z.Unchecked = append(z.Unchecked, audit.Unchecked{Invariant: replayInvariant, Reason: reason, Records: replayReport.Skipped[reason]})
	}
	return z
}

// decisionsPageSize is the maximum number of records that the operator frontend
// returns at once.
const decisionsPageSize = 1000

// fetchDecisions reads the records of a zone page by page. A page can end between
// two records of one version, so the next page starts at that version and skips
// the records that were already read.
func fetchDecisions(ctx context.Context, cl *client.Client, zone id.Zone, to time.Time) ([]decision.Record, error) {
	var records []decision.Record
	epoch, after, skip := id.Epoch(0), uint64(0), 0
	for {
		path := fmt.Sprintf("/v1/zones/%s/decisions?epoch=%d&after=%d&skip=%d&limit=%d", url.PathEscape(string(zone)), epoch, after, skip, decisionsPageSize)
		page, err := client.Get[operator.Decisions](ctx, cl, path)
		if err != nil {
			return nil, err
		}
		for _, r := range page.Decisions {
			if !to.IsZero() && r.At.After(to) {
				return records, nil
			}
			records = append(records, r)
		}
		if len(page.Decisions) < decisionsPageSize {
			return records, nil
		}
		last := records[len(records)-1]
		if epoch != last.Epoch || after != max(last.Version, 1)-1 {
			epoch, after, skip = last.Epoch, max(last.Version, 1)-1, 0
			for i := len(records) - 1; i >= 0 && records[i].Epoch == epoch && records[i].Version > after; i-- {
				skip++
			}
			continue
		}
		skip += len(page.Decisions)
	}
}

func auditTable(t *table, result AuditResult) {
	for _, z := range result.Zones {
		t.row("zone", z.Zone, fmt.Sprint(z.Records, " records"))
		for _, invariant := range slices.Sorted(maps.Keys(z.Checked)) {
			t.row("checked", z.Zone, fmt.Sprint(z.Checked[invariant], " times"), invariantTexts[invariant])
		}
		for _, u := range z.Unchecked {
			t.row("not checked", z.Zone, fmt.Sprint(u.Records, " times"), fmt.Sprintf("%s: %s", invariantTexts[u.Invariant], u.Reason))
		}
		for _, f := range z.Findings {
			t.row("FINDING", z.Zone, f.At.UTC().Format(time.RFC3339), fmt.Sprintf("job %s: not kept: %s: %s (epoch %d, version %d)", f.Job, invariantTexts[f.Invariant], f.Reason, f.Epoch, f.Version))
		}
	}
	t.row("findings", result.Findings)
}
