package cli

import (
	"context"
	"flag"

	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/operator/client"
	"fireflyfield/internal/resource"

	"github.com/google/subcommands"
)

// Keywords that are accepted instead of a kind.
const (
	keywordAll    = "all"
	keywordStatus = "status"
)

// getCommand prints resources and their status.
type getCommand struct {
	connectionFlags
	output string
}

// Name implements subcommands.Command.
func (*getCommand) Name() string { return "get" }

// Synopsis implements subcommands.Command.
func (*getCommand) Synopsis() string { return "print resources with their status" }

// Usage implements subcommands.Command.
func (*getCommand) Usage() string {
	return `get KIND [NAME]:
  Prints resources with their status. KIND is one of ` + kindNames() + `, or
  "all", or "status" for the VMs, backend servers and workspaces. Tables list the
  worst first.
  Example: fireflyfield get -o yaml Service entretien
`
}

// SetFlags implements subcommands.Command.
func (c *getCommand) SetFlags(fs *flag.FlagSet) {
	c.register(fs)
	fs.StringVar(&c.output, "o", formatTable, "output format: table, yaml or json")
}

// Check implements Checker.
func (c *getCommand) Check(fs *flag.FlagSet) []string {
	faults := append(c.check(), checkArguments(fs.Args(), 1, 2, "KIND [NAME]", keywordAll, keywordStatus)...)
	if fs.NArg() == 2 && (fs.Arg(0) == keywordAll || fs.Arg(0) == keywordStatus) {
		faults = append(faults, fs.Arg(0)+" takes no NAME")
	}
	return append(faults, checkFormat(c.output, formatTable, formatYAML, formatJSON)...)
}

// Execute implements subcommands.Command.
func (c *getCommand) Execute(ctx context.Context, fs *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsOf(args)
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	vmClient, err := c.newClient()
	if err != nil {
		return fail(streams, err)
	}
	if fs.Arg(0) == keywordStatus {
		return c.status(ctx, vmClient, streams)
	}
	list, err := fetch(ctx, vmClient, fs)
	if err != nil {
		return fail(streams, err)
	}
	if err := printResources(streams.Out, c.output, list.Items); err != nil {
		return fail(streams, err)
	}
	return subcommands.ExitSuccess
}

// status prints the overview of the VM that answers.
func (c *getCommand) status(ctx context.Context, vmClient *client.Client, streams Streams) subcommands.ExitStatus {
	overview, err := vmClient.Status(ctx)
	if err != nil {
		return fail(streams, err)
	}
	if err := printOverview(streams.Out, c.output, overview); err != nil {
		return fail(streams, err)
	}
	return subcommands.ExitSuccess
}

// fetch returns the resources that the arguments KIND [NAME] select.
func fetch(ctx context.Context, vmClient *client.Client, fs *flag.FlagSet) (api.List, error) {
	if fs.Arg(0) == keywordAll {
		return vmClient.List(ctx, "")
	}
	kind, err := parseKind(fs.Arg(0))
	if err != nil {
		return api.List{}, err
	}
	if fs.NArg() == 1 {
		return vmClient.List(ctx, kind)
	}
	return vmClient.Get(ctx, resource.ID{Kind: kind, Name: fs.Arg(1)})
}
