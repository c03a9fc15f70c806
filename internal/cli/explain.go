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

// explainCommand prints what happened to one request, reconstructed from the logs
// of VMs.
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
  those of each VM's own clock. The exit status is 1 if no line of the request is
  found.
  Example: fireflyfield explain 9c41d07be2a35f68 vm-1.log vm-2.log
`
}

// SetFlags implements subcommands.Command.
func (*explainCommand) SetFlags(*flag.FlagSet) {}

// Check implements Checker.
func (*explainCommand) Check(fs *flag.FlagSet) []string {
	if fs.NArg() == 0 {
		return []string{"the ID of a request is missing"}
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
		fmt.Fprintf(streams.Err, "skipped %d lines that are not log lines\n", skipped)
	}
	requestTrace := explain.Find(lines, fs.Arg(0))
	if err := requestTrace.Write(streams.Out, fs.Arg(0)); err != nil {
		return fail(streams, err)
	}
	if len(requestTrace.Request) == 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// readLogs reads the lines of all files, or of standard input without files, and
// counts the lines that are not log lines.
func readLogs(files []string, streams Streams) (lines []explain.Line, skipped int, err error) {
	if len(files) == 0 {
		return explain.Read(streams.In)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, 0, errors.Wrap(err, "open log file")
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
