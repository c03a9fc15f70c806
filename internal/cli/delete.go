package cli

import (
	"context"
	"flag"

	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/resource"

	"github.com/google/subcommands"
	"github.com/google/uuid"
)

// deleteCommand deletes one resource.
type deleteCommand struct {
	connectionFlags
	revision uint64
	id       string
}

// Name implements subcommands.Command.
func (*deleteCommand) Name() string { return "delete" }

// Synopsis implements subcommands.Command.
func (*deleteCommand) Synopsis() string { return "delete a resource" }

// Usage implements subcommands.Command.
func (*deleteCommand) Usage() string {
	return `delete KIND NAME:
  Deletes a resource that no other refers to. Deleting a CallerKey withdraws it.
  Exit status 1: refused or not sent; 3: not known yet, repeat with the -id that is printed.
  Example: fireflyfield delete CallerKey clinic-2026
`
}

// SetFlags implements subcommands.Command.
func (c *deleteCommand) SetFlags(fs *flag.FlagSet) {
	c.register(fs)
	fs.Uint64Var(&c.revision, "revision", 0, "delete only this revision; 0 for the current one")
	fs.StringVar(&c.id, "id", "", "identifier of an earlier delete that is repeated; needs -revision")
}

// Check implements Checker.
func (c *deleteCommand) Check(fs *flag.FlagSet) []string {
	faults := append(c.check(), checkArguments(fs.Args(), 2, 2, "KIND NAME")...)
	if c.id != "" && uuid.Validate(c.id) != nil {
		faults = append(faults, "-id is not a UUID")
	}
	// The first delete may have taken effect; the revision can't be read then.
	if c.id != "" && c.revision == 0 {
		faults = append(faults, "-id needs -revision")
	}
	return faults
}

// Execute implements subcommands.Command.
func (c *deleteCommand) Execute(ctx context.Context, fs *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsOf(args)
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	vmClient, err := c.newClient()
	if err != nil {
		return fail(streams, err)
	}
	kind, err := parseKind(fs.Arg(0))
	if err != nil {
		return fail(streams, err)
	}
	request := api.ApplyRequest{ID: uuid.New()}
	if c.id != "" {
		request.ID = uuid.MustParse(c.id)
	}
	change := api.Change{Op: api.OpDelete, Base: c.revision, Kind: kind, Name: fs.Arg(1)}
	if change.Base == 0 {
		list, err := vmClient.Get(ctx, resource.ID{Kind: kind, Name: change.Name})
		if err != nil {
			return fail(streams, err)
		}
		change.Base = list.Items[0].Metadata.Revision
		request.Seen = list.Revision
	}
	request.Changes = []api.Change{change}
	return submit(ctx, vmClient, request, streams)
}
