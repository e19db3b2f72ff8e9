package decision

import (
	"fmt"
	"slices"
	"strings"
)

// Explain formats a decision for users, one sentence on each line. The first line
// gives the decision and its reason, the others the victims and the rejected
// alternatives.
func Explain(r Record) string {
	var b strings.Builder
	b.WriteString(headline(r))
	for _, v := range r.Victims {
		fmt.Fprintf(&b, "\nstops job %s of account %s, which loses %.0f accelerator-seconds since its last checkpoint",
			v.Job, v.Account, float64(v.LostWork))
	}
	for _, a := range r.Alternatives {
		fmt.Fprintf(&b, "\nrejected %s: %s%s", a.Where, a.Reason, costs(a.Costs))
	}
	return b.String()
}

func headline(r Record) string {
	switch r.Rule {
	case RuleWait:
		return "waits: " + r.Reason
	case RuleReserved:
		return "waits behind a reservation: " + r.Reason
	case RulePacking:
		return "waits for a better place: " + r.Reason
	case RuleQuota:
		return "waits for quota: " + r.Reason
	case RuleNeverFits:
		return "can never run: " + r.Reason
	case RuleStop:
		return "stops: " + r.Reason
	case RuleWorkerExcluded:
		return fmt.Sprintf("worker %s leaves placement: %s", workers(r), r.Reason)
	case RuleWorkerRecovered:
		return fmt.Sprintf("worker %s is in placement again: %s", workers(r), r.Reason)
	}
	text := fmt.Sprintf("starts on %s: %s", workers(r), r.Reason)
	if r.Rule == RuleBackfill {
		text += "; it bypasses an older job that can't start yet"
	}
	return text + costs(r.Costs)
}

func workers(r Record) string {
	const shown = 4
	var names []string
	for _, m := range r.Members {
		names = append(names, string(m.Worker))
	}
	slices.Sort(names)
	if len(names) > shown {
		return fmt.Sprintf("%s and %d more workers", strings.Join(names[:shown], ", "), len(names)-shown)
	}
	return strings.Join(names, ", ")
}

func costs(terms []Cost) string {
	if len(terms) == 0 {
		return ""
	}
	parts := make([]string, len(terms))
	for i, t := range terms {
		parts[i] = fmt.Sprintf("%s %.3g", t.Term, t.Value)
	}
	return " (" + strings.Join(parts, ", ") + ")"
}
