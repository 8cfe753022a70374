// Command basilwayd is the daemon that runs beside a backend server instance.
package main

import (
	"os"

	"github.com/basilway/basilway/internal/daemoncli"
)

func main() { os.Exit(daemoncli.Execute()) }
