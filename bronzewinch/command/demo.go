package command

import (
	"context"

	"bronzewinch.dev/bronzewinch/demo"

	"github.com/integrii/flaggy"
)

type demoCommand struct {
	deployment string
	keep       bool
}

func (*demoCommand) Info() Info {
	return Info{Name: "demo", Summary: "Run an example deployment in this process and walk through it.",
		Example: "bronzewinch demo -deployment authority -keep"}
}

func (c *demoCommand) Flags(sub *flaggy.Subcommand) {
	sub.String(&c.deployment, "", "deployment", "cooperative or authority")
	sub.Bool(&c.keep, "", "keep", "leave the deployment up until Ctrl-C, and print its addresses")
}

func (c *demoCommand) Run(ctx context.Context, e *Env) error {
	return demo.Run(ctx, demo.Config{Deployment: c.deployment, Keep: c.keep, Out: e.Out, Timer: e.Clock})
}
