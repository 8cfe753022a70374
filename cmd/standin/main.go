// Command standin runs stand-ins of the platform and of backend servers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/basilway/basilway/internal/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if standin.NewCommand().ExecuteContext(ctx) != nil {
		os.Exit(1)
	}
}
