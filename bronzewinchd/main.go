// Command bronzewinchd is the daemon of an entry node. All entry nodes run the same
// program; the settings file of each defines its id and location.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"bronzewinch.dev/lib/node"
	"bronzewinch.dev/lib/settings"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/platform"

	"github.com/integrii/flaggy"
	"k8s.io/klog/v2"
)

// version is set by the linker for releases.
var version = "development"

func main() {
	var path string
	var onPlatform, check bool
	var metricsPort int
	flaggy.SetName("bronzewinchd")
	flaggy.SetDescription("Runs an entry node. Example: bronzewinchd -settings /etc/bronzewinch/node.toml")
	flaggy.SetVersion(version)
	flaggy.String(&path, "s", "settings", "settings file (TOML); docs/configuration.md lists the settings")
	flaggy.Bool(&onPlatform, "p", "platform", "run as a node of the cooperative platform; "+
		platform.SettingsVariable+" names its settings file")
	flaggy.Bool(&check, "c", "check", "with -platform: read the settings, report a mistake, and end")
	flaggy.Int(&metricsPort, "m", "metrics", "with -platform: port that serves /metrics; 0 serves none")
	flaggy.Parse()
	start := func() error { return run(path) }
	switch {
	case onPlatform && check:
		start = checkPlatform
	case onPlatform:
		start = func() error { return runPlatform(metricsPort) }
	}
	if err := start(); err != nil {
		fmt.Fprintln(os.Stderr, "bronzewinchd:", err)
		os.Exit(1)
	}
}

// run runs an entry node until the process receives SIGINT or SIGTERM.
func run(path string) error {
	s, err := settings.ReadDaemon(path)
	if err != nil {
		return err
	}
	if err := setVerbosity(s.Log.Verbosity); err != nil {
		return err
	}
	defer klog.Flush()
	limitMemory(unit.Bytes(s.Limits.VMMemory))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	n, err := node.New(node.Config{Settings: s, Timer: timer.NewSystem()})
	if err != nil {
		return err
	}
	<-ctx.Done()
	stop() // a second signal terminates the process immediately
	shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Limits.ShutdownTimeout))
	defer cancel()
	return n.Close(shutdownCtx)
}

func setVerbosity(level int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return flags.Set("v", strconv.Itoa(level))
}
