package command

import (
	"fmt"
	"os"

	"bronzewinch.dev/lib/configcheck"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/platform"
)

// ConfigCheckResult is the result of the check of a configuration of the cooperative platform.
type ConfigCheckResult struct {
	Routes   int                   `json:"routes"`
	Accounts int                   `json:"accounts"`
	Findings []configcheck.Finding `json:"findings"`
	// Changes is what differs from the configuration of -against.
	Changes []configcheck.Change `json:"changes,omitempty"`
}

// checkConfig checks a configuration file of the cooperative platform.
func (c *checkCommand) checkConfig(e *Env) error {
	config, err := readConfigFile(c.platform)
	if err != nil {
		return err
	}
	var fleet configcheck.Fleet
	if c.workers != "" {
		data, err := readFile(c.workers)
		if err != nil {
			return err
		}
		if fleet, err = platform.DecodeFleetFile(data); err != nil {
			return err
		}
	}
	r := ConfigCheckResult{Routes: len(config.Routes), Accounts: len(config.Accounts),
		Findings: configcheck.Check(config, fleet, platform.NodeLimits)}
	if c.against != "" {
		inForce, err := readConfigFile(c.against)
		if err != nil {
			return err
		}
		r.Findings = append(r.Findings, configcheck.CheckSuccessor(inForce, config)...)
		r.Changes = configcheck.Diff(inForce, config)
	}
	if err := show(e, r, func(t *table) { configCheckTable(t, r) }); err != nil {
		return err
	}
	if configcheck.HasErrors(r.Findings) {
		return &statusError{StatusInvalid, "the configuration has errors"}
	}
	return nil
}

func configCheckTable(t *table, r ConfigCheckResult) {
	for _, f := range r.Findings {
		t.row(f.Severity, fmt.Sprintf("line %d", f.Line), f.Field, f.Value, f.Limit, f.Remedy)
	}
	for _, c := range r.Changes {
		t.row(c.Mark, c.Entry)
		for _, field := range c.Fields {
			t.row("", field.Field, field.Old+" -> "+field.New)
		}
	}
	t.row(fmt.Sprintf("%d routes, %d tenants, %d findings, %d changes", r.Routes, r.Accounts, len(r.Findings), len(r.Changes)))
}

func readConfigFile(path string) (configcheck.Config, error) {
	data, err := readFile(path)
	if err != nil {
		return configcheck.Config{}, err
	}
	return platform.DecodeConfigFile(data)
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, problem.New(problem.NotFound, problem.Detail{Field: "file", Value: path, Remedy: "name a file that can be read"})
	}
	return data, nil
}
