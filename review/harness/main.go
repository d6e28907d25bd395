package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripted cases by name. Each returns whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"release": release,
	"idle":    idle,
	"events":  longEvents,
	"refused": refused,
	"uploads": uploads,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[args[0]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.notef("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	case broken:
		rec.notef("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.notef("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
