package record

import (
	"time"
)

// PolicyName is the name of the policy record. A set has at most one.
const PolicyName = "placement"

// Limits of the policy.
const (
	maxPolicyWeight    = 1000
	maxBypass          = 10000
	maxCheckpointGrace = time.Hour
)

// PolicyV1 is the placement policy in schema v1.
type PolicyV1 struct {
	Header
	CompletionWeight       float64 `toml:"completionWeight"`
	FragmentationWeight    float64 `toml:"fragmentationWeight"`
	GuardRackLoss          bool    `toml:"guardRackLoss"`
	MaxBypass              int     `toml:"maxBypass"`
	CheckpointGraceSeconds int64   `toml:"checkpointGraceSeconds"`
}

// WeightsV2 has the relative weights of the two criteria of placement.
type WeightsV2 struct {
	Completion    float64 `toml:"completion"`
	Fragmentation float64 `toml:"fragmentation"`
}

// GuardV2 has the failures that must leave enough capacity for all guaranteed
// shapes.
type GuardV2 struct {
	RackLoss bool `toml:"rackLoss"`
}

// PolicyV2 is the placement policy in schema v2.
type PolicyV2 struct {
	HeaderV2
	MaxBypass       int       `toml:"maxBypass"`
	CheckpointGrace Duration  `toml:"checkpointGrace"`
	Weights         WeightsV2 `toml:"weights"`
	Guard           GuardV2   `toml:"guard"`
}

func checkPolicy(r *report, name, completionField, fragmentationField string, w WeightsV2, bypass int) {
	if name != PolicyName {
		r.add("name", name, PolicyName, "use this name; there is only one policy record")
	}
	checkRange(r, completionField, w.Completion, 0, maxPolicyWeight)
	checkRange(r, fragmentationField, w.Fragmentation, 0, maxPolicyWeight)
	if w.Completion == 0 && w.Fragmentation == 0 {
		r.add(completionField, "0", "more than 0 when the other weight is 0", "set at least one weight above 0")
	}
	checkRange(r, "maxBypass", bypass, 0, maxBypass)
}

func (p *PolicyV1) check(r *report) {
	checkPolicy(r, p.Name, "completionWeight", "fragmentationWeight", WeightsV2{p.CompletionWeight, p.FragmentationWeight}, p.MaxBypass)
	checkSeconds(r, "checkpointGraceSeconds", p.CheckpointGraceSeconds, 0, maxCheckpointGrace)
}

func (p *PolicyV2) check(r *report) {
	checkPolicy(r, p.Name, "weights.completion", "weights.fragmentation", p.Weights, p.MaxBypass)
	checkDuration(r, "checkpointGrace", p.CheckpointGrace, 0, maxCheckpointGrace)
}

func (p *PolicyV1) toV2() bodyV2 {
	return &PolicyV2{MaxBypass: p.MaxBypass, CheckpointGrace: durationFromSeconds(p.CheckpointGraceSeconds),
		Weights: WeightsV2{p.CompletionWeight, p.FragmentationWeight}, Guard: GuardV2{p.GuardRackLoss}}
}

func (p *PolicyV2) toV1(r *report) bodyV1 {
	return &PolicyV1{CompletionWeight: p.Weights.Completion, FragmentationWeight: p.Weights.Fragmentation,
		GuardRackLoss: p.Guard.RackLoss, MaxBypass: p.MaxBypass,
		CheckpointGraceSeconds: wholeSeconds(r, "checkpointGrace", p.CheckpointGrace)}
}

func (p *PolicyV2) addTo(s *Set) {
	s.Policy = Policy{CompletionWeight: p.Weights.Completion, FragmentationWeight: p.Weights.Fragmentation,
		GuardRackLoss: p.Guard.RackLoss, MaxBypass: p.MaxBypass, CheckpointGrace: time.Duration(p.CheckpointGrace)}
}

func (p *PolicyV2) removeFrom(s *Set) { s.Policy = DefaultPolicy }
