// Command cases plays the cases of review/ that can't be put as a day of the bench: it starts real nodes as the deploy
// file does, puts stand-ins of the platform, its servers and its clients before them, and checks one rule of the users'
// pages by what these have seen.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration bounds a case: what is not over by then has failed.
const maxDuration = 115 * time.Second

// A verdict is the result of a case.
type verdict struct {
	// broken says that the rule was broken, and reason what was seen.
	broken bool
	reason string
}

// A scenario is one case. Play gets one of the troubles: "1" is the whole disruption, "0" none of it, and others are
// controls with a part of it.
type scenario struct {
	play     func(f *fleet, trouble string) (verdict, error)
	troubles []string
}

// scenarios holds the cases by name.
var scenarios = map[string]scenario{
	"streams":  {playStreams, []string{"1", "0", "kill", "reset"}},
	"versions": {playVersions, []string{"1", "0", "kill"}},
	"leaving":  {playLeaving, []string{"1", "0", "one"}},
}

func main() {
	name := flag.String("case", "", "the `NAME` of the case: streams or leaving")
	program := flag.String("program", "target/cloverrail", "the built program `FILE`")
	record := flag.String("record", "record.txt", "the `FILE` that what was sent, answered and run is written to")
	trouble := flag.String("trouble", "1", "0 to leave out the disruption; kill or reset (streams) and one (leaving) for a part of it or another one")
	flag.Parse()
	os.Exit(play(*name, *program, *record, *trouble))
}

// play runs a case and returns the exit code.
func play(name, program, recordFile, trouble string) int {
	s, found := scenarios[name]
	if !found || !slices.Contains(s.troubles, trouble) {
		fmt.Fprintf(os.Stderr, "unknown case %q or TROUBLE=%s\n", name, trouble)
		return exitFailed
	}
	rec, err := newRecorder(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the record cannot be written:", err)
		return exitFailed
	}
	defer rec.close()
	f, err := newFleet(program, rec)
	if err != nil {
		rec.logf("the case could not run: %v", err)
		return exitFailed
	}
	defer f.stop()
	timer := time.AfterFunc(maxDuration, func() {
		rec.logf("the case could not run: it took longer than %s", maxDuration)
		f.stop()
		rec.close()
		os.Exit(exitFailed)
	})
	defer timer.Stop()
	rec.logf("case %s, TROUBLE=%s", name, trouble)
	result, err := s.play(f, trouble)
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		return exitFailed
	case result.broken:
		rec.logf("BROKEN: %s", result.reason)
		return exitBroken
	default:
		rec.logf("held: %s", result.reason)
		return exitHeld
	}
}
