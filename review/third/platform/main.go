// Command platform plays the scripts of the third review: the project's program as separate processes on loopback
// addresses, with small stand-ins of clients, endpoints and the platform around it. It exits with 1 if the rule was
// broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name.
var cases = map[string]func(l *lab, trouble bool) (broken bool, err error){
	"encoded": encodedCase,
	"memory":  memoryCase,
}

// longestCase is the longest time that a case may take.
const longestCase = 110 * time.Second

func main() {
	runtime.LockOSThread() // the nodes end with the thread that starts them
	os.Exit(run(os.Args[1:]))
}

// run plays a case: its name, its folder and the root of the repository are the arguments.
func run(args []string) int {
	const usage = "usage: CASE FOLDER ROOT"
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, usage)
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	l, err := newLab(r, args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.end()
	time.AfterFunc(longestCase, func() {
		r.note("the case didn't end within %v", longestCase)
		os.Exit(exitNotRun)
	})
	broken, err := cases[args[0]](l, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.note("the case couldn't run: %v", err)
		return exitNotRun
	case broken:
		r.note("the rule was broken")
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}
