// Command harness2 runs the scripts of the second review: it starts nodes as separate processes with the
// command and the settings template of the deploy file, on loopback addresses, beside stand-ins of the
// platform's store, of back ends and of clients that run in its own process.
//
//	harness2 CASE RECORD
//
// It writes to the file RECORD what was sent, answered and run. It exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario runs one case and reports whether the rule was broken. trouble is false for a run without the
// disruption.
type scenario func(b *bench, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"smuggle":      smuggle,
	"acknowledged": acknowledged,
	"innocent":     innocent,
	"recalled":     recalled,
	"behind":       behind,
}

// maximumRun bounds a run.
const maximumRun = 115 * time.Second

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

func run(chosen scenario, file string) int {
	rec, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	b, err := newBench(rec)
	if err != nil {
		rec.printf("cannot run: %v", err)
		return exitFailed
	}
	defer b.stop()
	time.AfterFunc(maximumRun, func() {
		rec.printf("cannot run: the time is over")
		b.stop()
		os.Exit(exitFailed)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("disruption: %t", trouble)
	broken, err := chosen(b, trouble)
	switch {
	case err != nil:
		rec.printf("cannot run: %v", err)
		return exitFailed
	case broken:
		rec.printf("RESULT: the rule was broken")
		return exitBroken
	default:
		rec.printf("RESULT: the rule held")
		return exitHeld
	}
}
