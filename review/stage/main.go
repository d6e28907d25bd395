// Command stage plays the cases of the second review: it is the platform's store, the replicas and the clients of a small
// deployment, starts gateways as separate processes and writes what was sent, answered and run to a file.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime ends a case that hangs; run.sh may take 120 s.
const maxTime = 115 * time.Second

func main() {
	gateway := flag.String("gateway", "target/bramleytrail", "path of the gateway")
	file := flag.String("record", "record.txt", "file for the record")
	calm := flag.Bool("calm", false, "leave the disruption out")
	flag.Parse()
	cases := map[string]func(*stage) (broken bool, err error){
		"models": playModels, "parts": playParts, "drain": playDrain, "sessions": playSessions, "crashes": playCrashes,
	}
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "stage: name one of the cases models, parts, drain, sessions and crashes")
		os.Exit(exitNotRun)
	}
	s, err := newStage(*gateway, *file, !*calm)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stage:", err)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(maxTime, func() {
		s.note("not run: the case took too long")
		s.close()
		os.Exit(exitNotRun)
	})
	broken, err := play(s)
	code := exitHeld
	switch {
	case err != nil:
		s.note("not run: %v", err)
		code = exitNotRun
	case broken:
		s.note("RESULT: the rule was broken")
		code = exitBroken
	default:
		s.note("RESULT: the rule held")
	}
	s.close()
	os.Exit(code)
}
