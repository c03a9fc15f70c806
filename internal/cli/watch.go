package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strconv"

	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/operator/client"

	"github.com/google/subcommands"
)

// watchCommand prints changes as they are accepted.
type watchCommand struct {
	connectionFlags
	output string
	from   string
}

// Name implements subcommands.Command.
func (*watchCommand) Name() string { return "watch" }

// Synopsis implements subcommands.Command.
func (*watchCommand) Synopsis() string { return "print changes as they are accepted" }

// Usage implements subcommands.Command.
func (*watchCommand) Usage() string {
	return `watch KIND [NAME]:
  Prints the resources and then each change until it is interrupted. It continues
  at the next VM when one fails. KIND may be "all". -timeout is not used.
  Example: fireflyfield watch Drain -o json
`
}

// SetFlags implements subcommands.Command.
func (c *watchCommand) SetFlags(fs *flag.FlagSet) {
	c.register(fs)
	fs.StringVar(&c.output, "o", formatTable, "output format: table or json (one event a line)")
	fs.StringVar(&c.from, "from", "", "print only changes after this revision")
}

// Check implements Checker.
func (c *watchCommand) Check(fs *flag.FlagSet) []string {
	faults := append(c.check(), checkArguments(fs.Args(), 1, 2, "KIND [NAME]", keywordAll)...)
	if _, err := c.options(fs); err != nil {
		faults = append(faults, "-from is not a revision")
	}
	return append(faults, checkFormat(c.output, formatTable, formatJSON)...)
}

// options returns the watch options from the flags and arguments. For "all" the kind
// stays empty, which selects every kind. The error is that of an invalid -from.
func (c *watchCommand) options(fs *flag.FlagSet) (client.WatchOptions, error) {
	options := client.WatchOptions{Name: fs.Arg(1)}
	if kind, err := parseKind(fs.Arg(0)); err == nil {
		options.Kind = kind
	}
	if c.from == "" {
		return options, nil
	}
	from, err := strconv.ParseUint(c.from, 10, 64)
	options.From = &from
	return options, err
}

// Execute implements subcommands.Command.
func (c *watchCommand) Execute(ctx context.Context, fs *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsOf(args)
	vmClient, err := c.newClient()
	if err != nil {
		return fail(streams, err)
	}
	options, err := c.options(fs)
	if err != nil {
		return fail(streams, err)
	}
	err = vmClient.Watch(ctx, options, func(event api.Event) error { return c.print(streams.Out, event) })
	if ctx.Err() != nil {
		return subcommands.ExitSuccess
	}
	return fail(streams, err)
}

// print writes the event as one line. The table format omits positions.
func (c *watchCommand) print(out io.Writer, event api.Event) error {
	if c.output == formatJSON {
		return json.NewEncoder(out).Encode(event)
	}
	if event.Type == api.EventPosition {
		return nil
	}
	subject := ""
	if event.Kind != "" {
		subject = string(event.Kind) + "/" + event.Name
	}
	_, err := fmt.Fprintf(out, "%-8d %-7s %s\n", event.Revision, event.Type, subject)
	return err
}
