// Command rig-3 runs the scripted cases 11 to 15 of the review: it starts the program with the command of the deploy
// file as separate processes on loopback addresses, with stand-ins of the store, the servers and the callers, and
// checks one rule from what callers and servers saw.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// A scenario runs a case, with its disruption if trouble is set, and returns how often the rule was broken.
type scenario func(f *fleet, trouble bool) (broken int, err error)

var scenarios = map[string]scenario{
	"chunks":  runChunks,
	"dark":    runDark,
	"handles": runHandles,
	"order":   runOrder,
	"stop":    runStop,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 SCENARIO FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

func run(s scenario, folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	f, err := newFleet(r)
	if err != nil {
		r.printf("not run: %v", err)
		return exitNotRun
	}
	defer f.close()
	broken, err := s(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("not run: %v", err)
		return exitNotRun
	case broken > 0:
		r.printf("result: the rule was broken %d times", broken)
		return exitBroken
	}
	r.printf("result: the rule held")
	return exitHeld
}
