// Package command implements the command line for operators and client
// accounts. Each command is a small type that implements Command; All lists
// them.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"bronzewinch.dev/bronzewinch/client"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/settings"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/token"

	"github.com/integrii/flaggy"
)

// Info describes a command: its help text, the number of its arguments and its
// output formats.
type Info struct {
	Name    string
	Args    string // as the usage line shows them
	Summary string
	Example string
	// MinArgs and MaxArgs bound the number of arguments. MaxArgs -1 means no
	// upper bound.
	MinArgs, MaxArgs int
	// Outputs lists the output formats besides table, json and toml.
	Outputs []string
}

// Command is one command of the program.
type Command interface {
	Info() Info
	// Flags adds the command's own flags.
	Flags(sub *flaggy.Subcommand)
	Run(ctx context.Context, e *Env) error
}

// All returns the commands of the program.
func All() []Command {
	return []Command{
		// Configuration records.
		&applyCommand{timeout: time.Minute}, &checkCommand{}, &diffCommand{}, &getCommand{}, &historyCommand{limit: 20}, &convertCommand{},
		// Jobs.
		&submitCommand{timeout: defaultUnreachableTimeout}, &cancelCommand{}, &jobsCommand{limit: 100}, &watchCommand{watch{interval: time.Second, timeout: defaultUnreachableTimeout}}, &explainCommand{},
		// Entry nodes and workers.
		&nodesCommand{}, &workersCommand{}, &drainCommand{}, &evacuateCommand{},
		// Reports on a deployment.
		&auditCommand{}, &reportCommand{}, &topCommand{interval: 2 * time.Second}, &traceCommand{}, &runTimesCommand{},
		// An example deployment in one process.
		&demoCommand{deployment: "cooperative"},
		&versionCommand{},
	}
}

// Config configures one run of the program.
type Config struct {
	Out, Err io.Writer
	Clock    timer.Service
	Commands []Command
}

// Env is the environment of a command: the program's configuration, the
// arguments and the global flags.
type Env struct {
	Config
	Args   []string
	global globalFlags
}

// globalFlags holds the flags that every command has.
type globalFlags struct {
	contextName, contextsFile string
	address, tokenFile        string
	output                    string
	help                      bool
}

func (g *globalFlags) register(sc *flaggy.Subcommand) {
	sc.String(&g.contextName, "", "context", "context to use instead of the current one")
	sc.String(&g.contextsFile, "", "contexts", "file with the contexts")
	sc.String(&g.address, "", "address", "address of an entry node, in place of a context")
	sc.String(&g.tokenFile, "", "tokenFile", "file with the bearer token, with -address")
	sc.String(&g.output, "o", "output", "table, json or toml; report has html too")
	sc.Bool(&g.help, "h", "help", "show help with an example")
}

// Run runs the program and returns its exit status.
func Run(ctx context.Context, args []string, c Config) int {
	p := newProgram(c)
	cmd, err := p.parse(args)
	if err == nil && cmd == nil {
		return StatusDone // help was shown
	}
	if err == nil {
		err = cmd.Run(ctx, &Env{Config: c, Args: p.args, global: p.global})
	}
	if ctx.Err() != nil && err != nil {
		fmt.Fprintln(c.Err, "interrupted:", err)
		return StatusInterrupted
	}
	if err != nil {
		printError(c.Err, err)
	}
	return statusOf(err)
}

// Client returns a client for the nodes of the -address flag or the selected
// context.
func (e *Env) Client() (*client.Client, error) {
	cfg := client.Config{Timeout: defaultTimeout, Clock: e.Clock}
	tokenFile := e.global.tokenFile
	if e.global.address != "" {
		cfg.Addresses = []string{e.global.address}
	} else {
		selected, err := e.context()
		if err != nil {
			return nil, err
		}
		cfg.Addresses, cfg.CA, cfg.Timeout = selected.Addresses, selected.CA, time.Duration(selected.Timeout)
		if tokenFile == "" {
			tokenFile = selected.TokenFile
		}
	}
	if tokenFile == "" {
		return nil, newUsageError("tokenFile", "", "given with -address", "name the file with your token")
	}
	var err error
	if cfg.Token, err = token.FromFile(tokenFile); err != nil {
		return nil, err
	}
	return client.New(cfg)
}

const defaultTimeout = 10 * time.Second

func (e *Env) context() (settings.Context, error) {
	path := e.global.contextsFile
	if path == "" {
		path = os.Getenv("BRONZEWINCH_CONTEXTS")
	}
	if path == "" {
		dir, err := os.UserConfigDir()
		if err != nil {
			return settings.Context{}, newUsageError("contexts", "", "a file", "name the file with the contexts")
		}
		path = filepath.Join(dir, "bronzewinch", "contexts.toml")
	}
	contexts, err := settings.ReadContexts(path)
	if err != nil {
		return settings.Context{}, err
	}
	name := contexts.Current
	if e.global.contextName != "" {
		name = e.global.contextName
	}
	selected, ok := contexts.Contexts[name]
	if !ok {
		return selected, problem.New(problem.NotFound, problem.Detail{Field: "context", Value: name, Remedy: "use a context of " + path})
	}
	return selected, nil
}

// newUsageError returns an error for wrong use of the command line, which ends
// the program with StatusUsage.
func newUsageError(field, value, limit, remedy string) error {
	return &usageError{problem.New(problem.Invalid, problem.Detail{Field: field, Value: value, Limit: limit, Remedy: remedy})}
}

type usageError struct{ err error }

// Error returns the text of the typed error.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the typed error.
func (e *usageError) Unwrap() error { return e.err }

// sortedNames returns the names of commands in alphabetical order.
func sortedNames(commands []Command) []string {
	var names []string
	for _, c := range commands {
		names = append(names, c.Info().Name)
	}
	slices.Sort(names)
	return names
}
