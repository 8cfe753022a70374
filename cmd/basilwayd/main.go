// Command basilwayd routes requests as a daemon beside a backend server.
package main

import (
	"os"

	"github.com/basilway/basilway/internal/daemoncli"
)

func main() { os.Exit(daemoncli.Execute()) }
