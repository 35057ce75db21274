// Command rig plays the script cases of the review. It starts nodes of bergamotspring as separate processes on
// loopback addresses, serves small stand-ins of the platform's store and of workers to them, sends requests as
// consumers do, and checks one rule from what consumers and workers have seen.
//
//	rig CASE PROGRAM DIR [--calm]
//
// PROGRAM is the built node, DIR the folder of the record. With --calm the disruption is left out. The exit code is
// 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases holds the function of each case by name. It returns one of the exit codes.
var cases = map[string]func(*rig) int{
	"deadly":     deadlyAtOnce,
	"deadlylate": deadlyLate,
	"evacuation": evacuation,
	"cold":       cold,
	"filled":     filled,
	"inputs":     inputs,
	"leaving":    leaving,
	"tenants":    tenants,
}

func main() {
	args := slices.DeleteFunc(os.Args[1:], func(a string) bool { return a == "--calm" })
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE PROGRAM DIR [--calm]")
		os.Exit(couldNot)
	}
	r, err := newRig(args[1], args[2], len(args) == len(os.Args[1:]))
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		os.Exit(couldNot)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() { done <- cases[args[0]](r) }()
	code := couldNot
	select {
	case code = <-done:
	case <-stopped:
	}
	r.close()
	os.Exit(code)
}
