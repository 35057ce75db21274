// Command rig-2 runs the cases of the second review: nodes of the project as processes of their own, with
// stand-ins of the platform's store, of workers and of consumers on loopback addresses.
//
// Usage: rig-2 CASE PROGRAM RECORD, or rig-2 stage|model ... for a worker in a process of its own.
package main

import (
	"errors"
	"fmt"
	"os"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// errBroken says that a rule was broken.
var errBroken = errors.New("rule broken")

// cases are the cases by name.
var cases = map[string]func(*fleet, bool) error{
	"handles": runHandles,
	"poison":  runPoison,
	"paths":   runPaths,
	"regions": runRegions,
}

// workers are the workers that run in processes of their own.
var workers = map[string]func(args []string){
	"stage": serveStage,
	"model": serveModel,
}

func main() {
	if len(os.Args) > 1 && workers[os.Args[1]] != nil {
		workers[os.Args[1]](os.Args[2:])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE PROGRAM RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// run runs a case and returns the exit status.
func run(f func(*fleet, bool) error, program, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer r.close()
	x, err := newFleet(program, r)
	if err != nil {
		r.add("cannot run: %v", err)
		return exitCannotRun
	}
	defer x.close()
	go x.closeOnSignal()
	err = f(x, os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errBroken):
		r.add("RESULT broken: %v", err)
		return exitBroken
	case err != nil:
		r.add("RESULT cannot run: %v", err)
		return exitCannotRun
	}
	r.add("RESULT held")
	return exitHeld
}

// selfPath returns the path of this program.
func selfPath() string {
	p, err := os.Executable()
	if err != nil {
		return os.Args[0]
	}
	return p
}
