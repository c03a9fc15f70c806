// Package cli implements the subcommands of the fireflyfield command: it parses
// flags, reads files and prints results and exit statuses. Routing, configuration
// and the operators' API are left to the packages that the subcommands call.
package cli

import "github.com/google/subcommands"

// Exit statuses beyond those of package subcommands.
const (
	// ExitNotKnown means that a change may have been sent, but whether it was accepted
	// is not known yet. Repeating it with the same identifier is safe.
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
