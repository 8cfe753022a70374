// Command review-2 plays the scripts of the second review: it starts nodes as separate processes, with
// stand-ins of the platform's store, of endpoints and of clients, and judges what these saw. It exits
// with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseLimit bounds a whole run.
const caseLimit = 115 * time.Second

// caseFunc plays a case. It returns what broke the rule, nothing if it held.
type caseFunc func(w *world) ([]string, error)

var cases = map[string]caseFunc{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		return exitFailed
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	w, err := newWorld(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.linef("the case could not run: %v", err)
		return exitFailed
	}
	defer w.close()
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](w)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	var r result
	select {
	case r = <-done:
	case s := <-signals:
		r.err = fmt.Errorf("ended by signal: %v", s)
	case <-time.After(caseLimit):
		r.err = errors.New("the case took too long")
	}
	switch {
	case r.err != nil:
		record.linef("the case could not run: %v", r.err)
		return exitFailed
	case len(r.broken) > 0:
		for _, line := range r.broken {
			record.linef("BROKEN %s", line)
		}
		return exitBroken
	}
	record.linef("the rule held")
	return exitHeld
}
