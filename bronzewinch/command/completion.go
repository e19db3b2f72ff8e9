package command

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/integrii/flaggy"
)

// Run writes the script.
func (c *completionCommand) Run(_ context.Context, e *Env) error {
	scripts := map[string]func(*flaggy.Parser) string{"bash": flaggy.GenerateBashCompletion, "zsh": flaggy.GenerateZshCompletion,
		"fish": flaggy.GenerateFishCompletion}
	script, ok := scripts[e.Args[0]]
	if !ok {
		return newUsageError("shell", e.Args[0], "bash, zsh or fish", "choose one of these")
	}
	_, err := fmt.Fprint(e.Out, script(c.program.parser))
	return err
}

// versionCommand shows the version of the program.
type versionCommand struct{}

// Info describes the command.
func (*versionCommand) Info() Info {
	return Info{Name: "version", Summary: "Show the version of this program.", Example: "bronzewinch version"}
}

// Flags adds none.
func (*versionCommand) Flags(*flaggy.Subcommand) {}

// version is what the version command shows.
type version struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Revision string `json:"revision,omitempty"`
}

// Run shows the version that the Go command recorded in the binary.
func (*versionCommand) Run(_ context.Context, e *Env) error {
	v := version{Version: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		v.Version, v.Go = info.Main.Version, info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				v.Revision = s.Value
			}
		}
	}
	return show(e, v, func(t *table) { t.row("bronzewinch", v.Version, v.Go, v.Revision) })
}
