package operator

import (
	"fmt"
	"strings"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/job"
)

// ruleTexts describes the decision of each rule.
var ruleTexts = map[decision.Rule]string{
	decision.RuleFree:      "placed on free resources",
	decision.RuleClaim:     "placed on the cells bound to its guaranteed shape",
	decision.RulePreempt:   "placed as a claim after opportunistic gangs were stopped",
	decision.RuleBackfill:  "placed ahead of an older job that can't start yet",
	decision.RuleWait:      "waits, because nothing fits now",
	decision.RuleReserved:  "waits, because the resources are reserved for an older job",
	decision.RulePacking:   "waits for a placement that leaves fewer accelerators unusable",
	decision.RuleQuota:     "waits, because the quota of its account is used up",
	decision.RuleNeverFits: "rejected, because it can never run with the declared fleet and the quotas in force",
	decision.RuleStop:      "gang stopped on all its workers",

	decision.RuleWorkerExcluded:  "the worker was excluded from placement",
	decision.RuleWorkerRecovered: "the worker is available for placement again",
}

// maxListed bounds the alternatives of one decision, and the workers in one line.
const maxListed = 8

// Explain returns lines of text that describe the decisions about a job, oldest
// first, with their reasons.
func Explain(j job.Job, list []decision.Record) []string {
	lines := []string{fmt.Sprintf("Job %s of account %s requests %v. It is %s%s.", j.ID, j.Spec.Account, j.Spec.Shape, j.Phase, reasonSuffix(j.Reason))}
	if j.Spec.Claim != "" {
		lines = append(lines, fmt.Sprintf("It claims the guaranteed shape %s.", j.Spec.Claim))
	}
	for _, d := range list {
		lines = append(lines, explainDecision(d)...)
	}
	if len(list) == 0 {
		lines = append(lines, "No decision about the job is recorded yet.")
	}
	return lines
}

func reasonSuffix(reason string) string {
	if reason == "" {
		return ""
	}
	return ": " + strings.TrimSuffix(reason, ".")
}

func explainDecision(d decision.Record) []string {
	text, ok := ruleTexts[d.Rule]
	if !ok {
		text = string(d.Rule)
	}
	lines := []string{fmt.Sprintf("%s zone %s, epoch %d, version %d, configuration revision %d: %s%s.",
		d.At.UTC().Format(time.RFC3339), d.Zone, d.Epoch, d.Version, d.Revision, text, reasonSuffix(d.Reason))}
	if len(d.Members) > 0 {
		names := make([]string, 0, len(d.Members))
		for _, m := range d.Members {
			names = append(names, string(m.Worker))
		}
		lines = append(lines, "  on "+abbreviate(names)+formatCosts(d.Costs))
	}
	for _, v := range d.Victims {
		if v.Job == "" {
			lines = append(lines, "  a gang of another account was stopped for it")
			continue
		}
		lines = append(lines, fmt.Sprintf("  job %s of account %s was stopped for it (%.0f s of work lost)", v.Job, v.Account, float64(v.LostWork)))
	}
	for i, a := range d.Alternatives {
		if i == maxListed {
			lines = append(lines, fmt.Sprintf("  and %d more alternatives were rejected", len(d.Alternatives)-i))
			break
		}
		lines = append(lines, fmt.Sprintf("  not %s: %s%s", a.Where, a.Reason, formatCosts(a.Costs)))
	}
	return lines
}

func abbreviate(names []string) string {
	if len(names) <= maxListed {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListed], ", "), len(names)-maxListed)
}

func formatCosts(list []decision.Cost) string {
	if len(list) == 0 {
		return ""
	}
	terms := make([]string, 0, len(list))
	for _, c := range list {
		terms = append(terms, fmt.Sprintf("%s %.3g", c.Term, c.Value))
	}
	return " (cost: " + strings.Join(terms, ", ") + ")"
}
