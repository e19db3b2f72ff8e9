// Command review3 plays the cases of the third review: it starts the daemon as processes
// against small stand-ins of the platform, and checks one rule.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// cases are by their names. Each returns whether its rule was broken.
var cases = map[string]func(log *recorder, trouble bool) (broken bool, err error){
	"halfstored": halfStored,
	"oversized":  oversized,
	"restarted":  restartedBehindCut,
	"wave":       waveRequestedAgain,
	"amended":    waveAmended,
}

// Exit codes of a script.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	log, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log.write("case %s, disruption %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](log, trouble)
	switch {
	case err != nil:
		log.write("not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		log.write("the rule was broken")
		fmt.Println("the rule was broken; see record.txt")
		os.Exit(exitBroken)
	}
	log.write("the rule held")
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}

// jobBody returns the body with which a job is handed in.
func jobBody(spec string, times int, startAtMS int64, steps []step) string {
	body := map[string]any{"spec": spec, "steps": steps}
	if times > 0 {
		body["times"], body["start_at_ms"], body["interval_ms"] = times, startAtMS, 1
	}
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return string(b)
}

func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

// stateOf returns the state in the answer about a job.
func stateOf(status int, text string) string {
	var b struct {
		State string `json:"state"`
	}
	if status != 200 || json.Unmarshal([]byte(text), &b) != nil {
		return ""
	}
	return b.State
}
