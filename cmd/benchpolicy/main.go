// Command benchpolicy measures assignment policies with generated load series.
package main

import (
	"os"

	"github.com/basilway/basilway/internal/policybench"
)

func main() {
	if err := policybench.Command().Execute(); err != nil {
		os.Exit(1)
	}
}
