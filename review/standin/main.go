// Command standin plays the cases of the review: it starts a placer with the command of the deploy file, plays its
// clients, hosts and change log on loopback, and judges what crossed the sockets.
//
//	review-standin CASE FOLDER    plays a case and writes FOLDER/record.txt
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// maxLength bounds a run.
const maxLength = 110 * time.Second

// run is what a case works with.
type run struct {
	rec     *record
	trouble bool   // whether the disruption is played
	root    string // root of the repository
	folder  string // temporary folder
}

// errBroken is the error of a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name.
var cases = map[string]func(r *run) error{
	"1":       crossing,
	"2":       lostRelease,
	"3":       memoryLimit,
	"answer":  answerLost,
	"again":   eventAgain,
	"foreign": foreignRelease,
	"queue":   longQueue,
	"slow":    slowDiscovery,
	"term":    lastRequests,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(scenario func(r *run) error, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	time.AfterFunc(maxLength, func() {
		fmt.Fprintln(os.Stderr, "the run takes too long")
		os.Exit(2) // the kernel then kills the placer
	})
	r := &run{rec: rec, trouble: os.Getenv("TROUBLE") != "0", root: root, folder: temporary}
	rec.add("run", "trouble: %t", r.trouble)
	err = scenario(r)
	switch {
	case err == nil:
		rec.add("run", "the rule held")
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		rec.add("run", "%v", err)
		fmt.Println(err)
		return 1
	}
	rec.add("run", "could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return 2
}
