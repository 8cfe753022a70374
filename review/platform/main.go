// Command platform plays the cases of the review: it starts nodes as separate processes beside
// stand-ins of endpoints, clients and the platform's store, disturbs them, and checks one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case. Without trouble it does the same without the disruption. It returns the
// violations of the rule.
type scenario func(c *cluster, trouble bool) ([]string, error)

func main() {
	name := flag.String("case", "", "name of the case")
	node := flag.String("node", "", "path of basilwayd")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(play(*name, *node, *out, *trouble))
}

func play(name, node, out string, trouble bool) int {
	run, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	r, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c, err := newCluster(node, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupts
		c.stop()
		os.Exit(exitNotRun)
	}()
	found, err := run(c, trouble)
	c.stop()
	for _, text := range found {
		r.add("BROKEN %s", text)
		fmt.Println("broken:", text)
	}
	if closeErr := r.close(); closeErr != nil && err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case len(found) > 0:
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
