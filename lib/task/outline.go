package task

import (
	"fmt"
	"strconv"
	"strings"

	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"
)

// FormatResources formats resources in one word, such as "8a32000c131072m":
// accelerators, thousandths of a core, MiB.
func FormatResources(r unit.Resources) string {
	return fmt.Sprintf("%da%dc%dm", r.Accelerators, r.Cores, r.Memory/unit.MiB)
}

// ParseResources reads what FormatResources wrote.
func ParseResources(text string) (unit.Resources, error) {
	var a, c, m int64
	if _, err := fmt.Sscanf(text, "%da%dc%dm", &a, &c, &m); err != nil {
		return unit.Resources{}, problem.New(problem.Invalid, problem.Detail{
			Field: "resources", Value: text, Limit: "such as 8a32000c131072m", Remedy: "use the line of a log as it is"})
	}
	return unit.Resources{Accelerators: unit.Accelerators(a), Cores: unit.Millicores(c), Memory: unit.Bytes(m) * unit.MiB}, nil
}

// FormatSteps formats what an audit has to know of the steps of a job, such as
// "4x8a13000c38912m,gang 20x1a2800c11264m,after=0": the tasks of each step, the
// room that each takes, and what else holds for them.
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
		for _, a := range s.After {
			word += ",after=" + strconv.Itoa(a)
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}

// ParseSteps reads what FormatSteps wrote. The demand of a step is the room that
// its tasks take.
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
			case "after":
				var before int
				if before, err = strconv.Atoi(value); err == nil {
					s.After = append(s.After, before)
				}
			}
		}
		if err != nil {
			return nil, problem.New(problem.Invalid, problem.Detail{
				Field: "steps", Value: word, Limit: "such as 4x8a13000c38912m,gang", Remedy: "use the line of a log as it is"})
		}
		steps = append(steps, s)
	}
	return steps, nil
}
