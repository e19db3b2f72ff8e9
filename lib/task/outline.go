package task

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"
)

// FormatResources formats resources for a log line, such as "8a32000c131072m":
// accelerators, thousandths of a core, MiB of memory.
func FormatResources(r unit.Resources) string {
	return fmt.Sprintf("%da%dc%dm", r.Accelerators, r.Cores, r.Memory/unit.MiB)
}

// ParseResources parses the format of FormatResources.
func ParseResources(text string) (unit.Resources, error) {
	var a, c, m int64
	if _, err := fmt.Sscanf(text, "%da%dc%dm", &a, &c, &m); err != nil {
		return unit.Resources{}, problem.New(problem.Invalid, problem.Detail{
			Field: "resources", Value: text, Limit: "such as 8a32000c131072m", Remedy: "copy the value of the log line unchanged"})
	}
	return unit.Resources{Accelerators: unit.Accelerators(a), Cores: unit.Millicores(c), Memory: unit.Bytes(m) * unit.MiB}, nil
}

// FormatSteps formats the steps of a job for a log line, such as
// "4x8a13000c38912m,gang 20x1a2800c11264m,est=900,after=0": the number of tasks of each step,
// the resources that each task reserves, those properties that the log audit checks, and
// the estimate in milliseconds.
func FormatSteps(steps []Step) string {
	var words []string
	for _, s := range steps {
		word := strconv.Itoa(s.Tasks) + "x" + FormatResources(s.Reserved())
		if s.Gang {
			word += ",gang"
		}
		if s.Service {
			word += ",serves"
		}
		if s.Estimate > 0 {
			word += ",est=" + strconv.FormatInt(s.Estimate.Milliseconds(), 10)
		}
		for _, a := range s.After {
			word += ",after=" + strconv.Itoa(a)
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}

// ParseSteps parses the format of FormatSteps. The demand of a parsed step is what its
// tasks reserve.
func ParseSteps(text string) ([]Step, error) {
	var steps []Step
	for _, word := range strings.Fields(text) {
		parts := strings.Split(word, ",")
		count, reserved, _ := strings.Cut(parts[0], "x")
		var s Step
		var err error
		if s.Tasks, err = strconv.Atoi(count); err == nil {
			s.Demand, err = ParseResources(reserved)
		}
		for _, p := range parts[1:] {
			switch name, value, _ := strings.Cut(p, "="); name {
			case "gang":
				s.Gang = true
			case "serves":
				s.Service = true
			case "est":
				var ms int64
				ms, err = strconv.ParseInt(value, 10, 64)
				s.Estimate = time.Duration(ms) * time.Millisecond
			case "after":
				var before int
				if before, err = strconv.Atoi(value); err == nil {
					s.After = append(s.After, before)
				}
			}
		}
		if err != nil {
			return nil, problem.New(problem.Invalid, problem.Detail{
				Field: "steps", Value: word, Limit: "such as 4x8a13000c38912m,gang", Remedy: "copy the value of the log line unchanged"})
		}
		steps = append(steps, s)
	}
	return steps, nil
}
