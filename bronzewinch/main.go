// Command bronzewinch is the command line for operators and client accounts.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bronzewinch.dev/bronzewinch/command"
	"bronzewinch.dev/lib/timer"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := command.Run(ctx, os.Args[1:], command.Config{
		Out:      os.Stdout,
		Err:      os.Stderr,
		Clock:    timer.NewSystem(),
		Commands: command.All(),
	})
	stop()
	os.Exit(status)
}
