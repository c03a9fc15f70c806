package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"

	"fireflyfield/internal/config"
	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/operator/client"
	"fireflyfield/internal/resource"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"github.com/google/uuid"
)

// applyCommand creates and replaces the resources of a file as one change.
type applyCommand struct {
	connectionFlags
	file string
	id   string
}

// Name implements subcommands.Command.
func (*applyCommand) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (*applyCommand) Synopsis() string { return "create or replace the resources of a file" }

// Usage implements subcommands.Command.
func (*applyCommand) Usage() string {
	return `apply -f FILE:
  Creates or replaces the resources of a YAML file, all of them or none. A document
  with metadata.revision is refused if the resource has another revision.
  Exit status 1: refused or not sent; 3: not known yet, repeat with the -id that is printed.
  Example: fireflyfield apply -f examples/dakar.yaml
`
}

// SetFlags implements subcommands.Command.
func (c *applyCommand) SetFlags(fs *flag.FlagSet) {
	c.register(fs)
	fs.StringVar(&c.file, "f", "", "file with YAML documents, - for standard input")
	fs.StringVar(&c.id, "id", "", "identifier of an earlier apply that is repeated")
}

// Check implements Checker.
func (c *applyCommand) Check(fs *flag.FlagSet) []string {
	faults := c.check()
	if c.file == "" {
		faults = append(faults, "-f FILE is missing")
	}
	if c.id != "" && uuid.Validate(c.id) != nil {
		faults = append(faults, "-id is not a UUID")
	}
	return append(faults, extraArguments(fs)...)
}

// Execute implements subcommands.Command.
func (c *applyCommand) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsOf(args)
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	vmClient, err := c.newClient()
	if err != nil {
		return fail(streams, err)
	}
	list, err := vmClient.List(ctx, "")
	if err != nil {
		return fail(streams, err)
	}
	existing := resource.Set(list.Items)
	set, err := readDocuments(c.file, streams.In, existing.Find)
	if err != nil {
		return fail(streams, err)
	}
	changes, err := c.changes(set, existing)
	if err != nil {
		return fail(streams, err)
	}
	if len(changes) == 0 {
		fmt.Fprintln(streams.Out, "unchanged")
		return subcommands.ExitSuccess
	}
	return submit(ctx, vmClient, c.request(list.Revision, changes), streams)
}

// request returns the apply request with the identifier of -id, or with a new one. seen
// is the revision of the list that was read.
func (c *applyCommand) request(seen uint64, changes []api.Change) api.ApplyRequest {
	id := uuid.New()
	if c.id != "" {
		id = uuid.MustParse(c.id)
	}
	return api.ApplyRequest{ID: id, Seen: seen, Changes: changes}
}

// changes returns one put for each document, or nil if the command has no -id and
// no document differs from the existing resource. Unchanged documents are included
// otherwise, so that a repeated apply sends the same changes as the first one. Their
// bases may differ; see config.Record.Digest.
func (c *applyCommand) changes(set, existing resource.Set) ([]api.Change, error) {
	var changes []api.Change
	unchanged := c.id == ""
	for _, r := range set {
		current, exists := existing.Find(r.ID())
		base := r.Metadata.Revision
		if base == 0 {
			base = current.Metadata.Revision
		}
		change, err := config.Put(r, base)
		if err != nil {
			return nil, err
		}
		if !exists || base != current.Metadata.Revision || !sameDocument(change, current) {
			unchanged = false
		}
		changes = append(changes, api.Change{Op: api.OpPut, Base: base, Resource: json.RawMessage(change.Document)})
	}
	if unchanged {
		return nil, nil
	}
	return changes, nil
}

// sameDocument reports whether the change would leave the resource as it is.
func sameDocument(change config.Change, current resource.Resource) bool {
	other, err := config.Put(current, change.Base)
	return err == nil && bytes.Equal(change.Document, other.Document)
}

// submit applies the request and prints the decision. If the decision is not
// known, it prints the identifier with which the user can repeat the request.
func submit(ctx context.Context, vmClient *client.Client, request api.ApplyRequest, streams Streams) subcommands.ExitStatus {
	response, err := vmClient.Apply(ctx, request)
	var problem *api.Problem
	switch {
	case err == nil:
		fmt.Fprintf(streams.Out, "accepted: revision %d, changes: %d\n", response.Revision, len(request.Changes))
		return subcommands.ExitSuccess
	case errors.As(err, &problem) && problem.Type != api.ProblemNotKnown:
		return fail(streams, err)
	default:
		fmt.Fprintf(streams.Err, "%s: %v; repeat with -id %s\n", program, err, request.ID)
		return ExitNotKnown
	}
}
