package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
)

// validateCommand checks the documents of a file without calling a VM.
type validateCommand struct{ file string }

// Name implements subcommands.Command.
func (*validateCommand) Name() string { return "validate" }

// Synopsis implements subcommands.Command.
func (*validateCommand) Synopsis() string { return "check a file without a VM" }

// Usage implements subcommands.Command.
func (*validateCommand) Usage() string {
	return `validate -f FILE:
  Reports every fault of a YAML file. References must resolve within the file.
  Example: fireflyfield validate -f examples/dakar.yaml
`
}

// SetFlags implements subcommands.Command.
func (c *validateCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.file, "f", "", "file with YAML documents, - for standard input")
}

// Check implements Checker.
func (c *validateCommand) Check(fs *flag.FlagSet) []string {
	var faults []string
	if c.file == "" {
		faults = append(faults, "-f FILE is missing")
	}
	return append(faults, extraArguments(fs)...)
}

// Execute implements subcommands.Command.
func (c *validateCommand) Execute(_ context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsOf(args)
	set, err := readDocuments(c.file, streams.In, nil)
	if err != nil {
		return fail(streams, err)
	}
	if len(set) == 0 {
		return fail(streams, errors.Errorf("%s contains no resources", c.file))
	}
	fmt.Fprintf(streams.Out, "valid: %d resources\n", len(set))
	return subcommands.ExitSuccess
}
