// Command basilway manages basilway daemons and sends requests to services.
package main

import (
	"os"

	"github.com/basilway/basilway/internal/cli"
)

func main() { os.Exit(cli.Execute()) }
