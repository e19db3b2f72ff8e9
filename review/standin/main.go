// Command standin plays one case of the review: it starts nodes as processes and
// stand-ins for the platform around them, and checks one rule.
//
//	standin CASE REPOSITORY TEMPORARY-FOLDER RECORD
//
// It appends to the file RECORD what was sent, answered and run.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// check plays a case and returns what broke the rule, or an empty string.
type check func(root, dir string, trouble bool) (broken string, err error)

var cases = map[string]check{"load": loadCase, "burst": burstCase, "large": largeCase, "pending": pendingCase, "stall": stallCase, "affinity": affinityCase, "gone": goneCase}

// maxTime ends a case that hangs.
const maxTime = 115 * time.Second

func main() {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE REPOSITORY TEMPORARY-FOLDER RECORD")
		os.Exit(2)
	}
	record, err := os.OpenFile(os.Args[4], os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	startLog(record)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		logf("interrupted: the case could not run to its end")
		endAll()
		flushLog()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	endAll()
	result, code := "the rule held", 0
	switch {
	case err != nil:
		result, code = "could not run: "+err.Error(), 2
	case broken != "":
		result, code = "RULE BROKEN: "+broken, 1
	}
	logf("%s", result)
	flushLog()
	fmt.Println(result)
	os.Exit(code)
}

var world *World

func endAll() {
	if world != nil {
		world.close()
	}
}
