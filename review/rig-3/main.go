// Command rig-3 runs the scripted cases 11 to 15 of the review: it starts the program with the command of the deploy
// file as separate processes on loopback addresses, with stand-ins of the store, the servers and the callers, and
// checks one rule from what callers and servers saw.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longestRun is how long a case may run. The longest one takes 30 s.
const longestRun = 100 * time.Second

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
	broken, err := play(s, f)
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

// play runs a scenario until it has ended, a signal comes or the longest time is over.
func play(s scenario, f *fleet) (int, error) {
	type result struct {
		broken int
		err    error
	}
	done := make(chan result, 1)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		broken, err := s(f, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	select {
	case x := <-done:
		return x.broken, x.err
	case x := <-stop:
		return 0, fmt.Errorf("stopped by %v", x)
	case <-time.After(longestRun):
		return 0, errors.New("the case takes too long")
	}
}
