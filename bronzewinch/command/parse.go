package command

import (
	"fmt"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// program is the parser of the command line.
type program struct {
	Config
	parser         *flaggy.Parser
	subcommands    map[string]*flaggy.Subcommand
	commandsByName map[string]Command
	global         globalFlags
	args           []string
}

func newProgram(c Config) *program {
	p := &program{Config: c, parser: flaggy.NewParser("bronzewinch"), subcommands: make(map[string]*flaggy.Subcommand), commandsByName: make(map[string]Command)}
	p.parser.Description = "Applies configuration records and follows jobs."
	// With these options the library prints its own text and exits the process.
	// The program prints help and errors itself.
	p.parser.ShowHelpWithHFlag = false
	p.parser.ShowVersionWithVersionFlag = false
	p.parser.ShowHelpOnUnexpected = false
	p.parser.ShowCompletion = false
	p.global.output = outputTable
	for _, cmd := range append(c.Commands, &completionCommand{p}) {
		info := cmd.Info()
		sub := flaggy.NewSubcommand(info.Name)
		sub.Description = info.Summary
		p.global.register(sub)
		cmd.Flags(sub)
		p.parser.AttachSubcommand(sub, 1)
		p.subcommands[info.Name], p.commandsByName[info.Name] = sub, cmd
	}
	return p
}

// parse finds the command and sets its flags. The command is nil when help
// was shown instead.
func (p *program) parse(args []string) (Command, error) {
	if len(args) == 0 || isHelp(args[0]) {
		p.showCommands()
		return nil, nil
	}
	cmd, ok := p.commandsByName[args[0]]
	if !ok {
		return nil, newUsageError("command", args[0], strings.Join(sortedNames(p.Commands), ", "), "see `bronzewinch -help`")
	}
	sub := p.subcommands[args[0]]
	if err := checkFlags(sub, args[1:]); err != nil {
		return nil, err
	}
	if err := p.parser.ParseArgs(args); err != nil {
		return nil, newUsageError("flag", "", "a value of the right type", err.Error())
	}
	if p.global.help {
		p.showHelp(cmd, sub)
		return nil, nil
	}
	p.args = p.parser.TrailingArguments
	info := cmd.Info()
	if n := len(p.args); n < info.MinArgs || info.MaxArgs >= 0 && n > info.MaxArgs {
		return nil, newUsageError("arguments", fmt.Sprint(n), "bronzewinch "+info.Name+" "+info.Args, "see `bronzewinch "+info.Name+" -help`")
	}
	if output, formats := p.global.output, append([]string{outputTable, outputJSON, outputTOML}, info.Outputs...); !slices.Contains(formats, output) {
		return nil, newUsageError("output", output, strings.Join(formats[:len(formats)-1], ", ")+" or "+formats[len(formats)-1], "choose one of these")
	}
	return cmd, nil
}

// checkFlags rejects unknown flags and flags without a value. The library would
// ignore them or exit the process.
func checkFlags(sub *flaggy.Subcommand, args []string) error {
	for i := 0; i < len(args); i++ {
		if args[i] == "--" {
			return nil
		}
		if !strings.HasPrefix(args[i], "-") {
			continue
		}
		name, _, hasValue := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		flag := findFlag(sub, name)
		if flag == nil {
			return newUsageError("flag", "-"+name, "a known flag", "see `bronzewinch "+sub.Name+" -help`")
		}
		if _, isBool := flag.AssignmentVar.(*bool); isBool || hasValue {
			continue
		}
		if i++; i == len(args) {
			return newUsageError("flag", "-"+name, "followed by a value", "see `bronzewinch "+sub.Name+" -help`")
		}
	}
	return nil
}

func findFlag(sub *flaggy.Subcommand, name string) *flaggy.Flag {
	for _, f := range sub.Flags {
		if f.HasName(name) {
			return f
		}
	}
	return nil
}

func isHelp(arg string) bool {
	name := strings.TrimLeft(arg, "-")
	return name == "help" || arg == "-h"
}

func (p *program) showCommands() {
	fmt.Fprint(p.Out, "bronzewinch applies configuration records and follows jobs.\n\nUsage: bronzewinch COMMAND [ARGUMENTS] [FLAGS]\n\nCommands:\n")
	for _, cmd := range append(p.Commands, &completionCommand{p}) {
		fmt.Fprintf(p.Out, "  %-11s %s\n", cmd.Info().Name, cmd.Info().Summary)
	}
	fmt.Fprint(p.Out, "\nbronzewinch COMMAND -help shows the flags of a command and an example.\n\n"+statusHelp)
}

func (p *program) showHelp(cmd Command, sub *flaggy.Subcommand) {
	info := cmd.Info()
	fmt.Fprintf(p.Out, "%s\n\nUsage: bronzewinch %s %s [FLAGS]\n\nFlags:\n", info.Summary, info.Name, info.Args)
	for _, f := range sub.Flags {
		name := "-" + f.LongName
		if f.ShortName != "" {
			name = "-" + f.ShortName + ", " + name
		}
		fmt.Fprintf(p.Out, "  %-14s %s\n", name, f.Description)
	}
	fmt.Fprintf(p.Out, "\nExample:\n  %s\n\n%s", strings.ReplaceAll(info.Example, "\n", "\n  "), statusHelp)
}

// completionCommand writes the completion script of a shell.
type completionCommand struct{ program *program }

// Info describes the command.
func (*completionCommand) Info() Info {
	return Info{Name: "completion", Args: "bash|zsh|fish", Summary: "Write the completion script of a shell.", MinArgs: 1, MaxArgs: 1,
		Example: "bronzewinch completion bash > ~/.local/share/bash-completion/completions/bronzewinch"}
}

// Flags adds none.
func (*completionCommand) Flags(*flaggy.Subcommand) {}
