// Command fireflyfield routes requests to backend servers that own keys exclusively.
// Package cli defines its subcommands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"fireflyfield/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := cli.Run(ctx, os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(status)
}
