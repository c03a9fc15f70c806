package cli

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// Commands returns every subcommand.
func Commands() []subcommands.Command {
	return []subcommands.Command{
		&serveCommand{},
		&devCommand{},
		&standinCommand{},
	}
}

// Main runs the command line and returns the exit status.
func Main() int {
	for _, command := range Commands() {
		subcommands.Register(command, "")
	}
	subcommands.Register(subcommands.HelpCommand(), "")
	flag.Parse()
	return int(subcommands.Execute(context.Background()))
}
