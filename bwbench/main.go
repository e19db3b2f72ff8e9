// Command bwbench runs the benchmarks and the soak test of bronzewinch.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"bronzewinch.dev/bwbench/clusterbench"
	"bronzewinch.dev/bwbench/placementbench"
	"bronzewinch.dev/bwbench/requestbench"
	"bronzewinch.dev/bwbench/soakbench"

	"github.com/integrii/flaggy"
)

// experiments maps each subcommand to the function that runs it.
var experiments = map[string]func(args []string) error{
	"placement": runPlacement,
	"requests":  requestbench.Run,
	"soak":      soakbench.Run,
	"cluster":   clusterbench.Run,
}

func main() {
	if len(os.Args) < 2 || experiments[os.Args[1]] == nil {
		fmt.Fprintf(os.Stderr, "usage: bwbench %s [flags]\n", strings.Join(names(), "|"))
		os.Exit(2)
	}
	if err := experiments[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func names() []string {
	var out []string
	for name := range experiments {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func runPlacement(args []string) error {
	command := placementbench.NewCommand()
	sub := flaggy.NewSubcommand("placement")
	sub.Description = "compare the placement policy with two baseline schedulers"
	command.Flags(sub)
	parser := flaggy.NewParser("bwbench")
	parser.AttachSubcommand(sub, 1)
	if err := parser.ParseArgs(append([]string{"placement"}, args...)); err != nil {
		return err
	}
	return command.Run()
}
