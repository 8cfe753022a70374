// Command basilway steers daemons and calls services through them.
package main

import (
	"os"

	"github.com/basilway/basilway/internal/cli"
)

func main() { os.Exit(cli.Execute()) }
