// Command second holds the stand-ins and the checks of the second review's cases, which the run.sh of each case starts.
//
//	second NAME FOLDER     runs a case or a scenario of this review and writes FOLDER/record.txt
//	second host FLAGS      a host of the service: the project's model of a host on a socket, with a log of what runs
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases and scenarios by name.
var cases = map[string]func(*lab) (broken bool, err error){
	"rerun":      caseRerun,
	"unanswered": caseUnanswered,
	"two-copies": caseTwoCopies,
	"stopped":    caseStopped,
	"slow-log":   caseSlowLog,
	"refused":    caseRefused,
	"make":       caseMake,
}

func main() {
	if len(os.Args) >= 2 && os.Args[1] == "host" {
		fmt.Fprintln(os.Stderr, "host:", runHost(os.Args[2:]))
		os.Exit(exitNotRun)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second NAME FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case and returns its exit code.
func runCase(name, folder string) int {
	l, err := newLab(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "case:", err)
		return exitNotRun
	}
	broken, err := cases[name](l)
	l.close()
	code := exitHeld
	switch {
	case err != nil:
		l.record("could not run: %v", err)
		code = exitNotRun
	case broken:
		l.record("RESULT: the rule was broken")
		code = exitBroken
	default:
		l.record("RESULT: the rule held")
	}
	if err := l.writeRecord(); err != nil {
		fmt.Fprintln(os.Stderr, "case:", err)
		return exitNotRun
	}
	return code
}
