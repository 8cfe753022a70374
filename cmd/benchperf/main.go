// Command benchperf measures the daemons and stand-ins that scripts/bench.sh starts.
package main

import (
	"os"

	"github.com/basilway/basilway/internal/perfbench"
)

func main() {
	if err := perfbench.Command().Execute(); err != nil {
		os.Exit(1)
	}
}
