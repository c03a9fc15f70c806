package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"fireflyfield/internal/explain"
)

// explainCommand tells the story of a request from logs.
type explainCommand struct{}

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string { return "tell what happened to a request, from logs" }

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return `explain ID [FILE...]:
  Reads logs of VMs from files, or from standard input, and prints the lines of the
  request with what its VM and its backend servers went through before. Times are
  those of each VM's own clock.
  Example: fireflyfield explain 9c41d07be2a35f68 vm-1.log vm-2.log
`
}

// SetFlags implements subcommands.Command.
func (*explainCommand) SetFlags(*flag.FlagSet) {}

// Check implements Checker.
func (*explainCommand) Check(fs *flag.FlagSet) []string {
	if fs.NArg() == 0 {
		return []string{"the ID of a request is needed"}
	}
	return nil
}

// Execute implements subcommands.Command.
func (*explainCommand) Execute(_ context.Context, fs *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsOf(args)
	lines, skipped, err := readLogs(fs.Args()[1:], streams)
	if err != nil {
		return fail(streams, err)
	}
	if skipped > 0 {
		fmt.Fprintf(streams.Err, "%d lines are no log lines\n", skipped)
	}
	story := explain.Find(lines, fs.Arg(0))
	if err := story.Write(streams.Out, fs.Arg(0)); err != nil {
		return fail(streams, err)
	}
	if len(story.Request) == 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func readLogs(files []string, streams Streams) (lines []explain.Line, skipped int, err error) {
	if len(files) == 0 {
		return explain.Read(streams.In)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, 0, errors.Wrap(err, "explain")
		}
		part, n, err := explain.Read(file)
		file.Close() //nolint:errcheck // the file was only read
		if err != nil {
			return nil, 0, errors.Wrap(err, name)
		}
		lines, skipped = append(lines, part...), skipped+n
	}
	return lines, skipped, nil
}
