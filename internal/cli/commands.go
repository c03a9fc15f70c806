// Package cli implements the subcommands of the fireflyfield command.
package cli

import "github.com/google/subcommands"

// Exit statuses beyond those of package subcommands.
const (
	// ExitNotKnown means that the decision on a change is not known yet.
	ExitNotKnown subcommands.ExitStatus = 3
)

// Commands returns every subcommand in the order of the help text.
func Commands() []subcommands.Command {
	return []subcommands.Command{
		&applyCommand{},
		&getCommand{},
		&watchCommand{},
		&deleteCommand{},
		&validateCommand{},
		&serveCommand{},
		&routeCommand{},
		&soakCommand{},
		&explainCommand{},
		&devCommand{},
		&standinCommand{},
		&reportCommand{},
		&replayCommand{},
		&versionCommand{},
	}
}
