package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"fireflyfield/internal/settings"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
)

// program is the name of the command in messages and help texts.
const program = "fireflyfield"

// Streams holds the standard streams of a command. Run passes it as the first
// extra argument of Execute.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Checker is implemented by commands that check their flags and arguments before
// they run.
type Checker interface {
	// Check returns every fault of the flags and arguments, one string each, and nil
	// if the command can run. fs has been parsed.
	Check(fs *flag.FlagSet) []string
}

// Run executes a command line, given without the program name, and returns the exit
// status: 0 for success, 1 for a failure, 2 for an invalid command line and 3
// (ExitNotKnown) if the decision on a change is not known yet.
func Run(ctx context.Context, args []string, streams Streams) int {
	if len(args) == 0 {
		newCommander(streams.Err).Explain(streams.Err)
		return int(subcommands.ExitUsageError)
	}
	name := args[0]
	for _, command := range Commands() {
		if command.Name() == name {
			return int(runCommand(ctx, command, args[1:], streams))
		}
	}
	if isHelp(name) {
		return int(help(ctx, args[1:], streams))
	}
	fmt.Fprintf(streams.Err, "%s: unknown subcommand %q (see: %s help)\n", program, name, program)
	return int(subcommands.ExitUsageError)
}

// runCommand parses and checks the flags and executes the command. All faults of
// the command line are reported together on one line.
func runCommand(ctx context.Context, command subcommands.Command, args []string, streams Streams) subcommands.ExitStatus {
	fs := flag.NewFlagSet(command.Name(), flag.ContinueOnError)
	command.SetFlags(fs)
	faults, err := settings.Parse(fs, args)
	if errors.Is(err, flag.ErrHelp) {
		newCommander(streams.Out).ExplainCommand(streams.Out, command)
		return subcommands.ExitSuccess
	}
	if checker, ok := command.(Checker); ok {
		faults = append(faults, checker.Check(fs)...)
	}
	if len(faults) > 0 {
		fmt.Fprintf(streams.Err, "%s %s: %s (see: %s help %s)\n", program, command.Name(), strings.Join(faults, "; "), program, command.Name())
		return subcommands.ExitUsageError
	}
	return command.Execute(ctx, fs, streams)
}

func isHelp(name string) bool {
	return name == "help" || name == "-h" || name == "-help" || name == "--help"
}

func help(ctx context.Context, args []string, streams Streams) subcommands.ExitStatus {
	fs := flag.NewFlagSet("help", flag.ContinueOnError)
	fs.SetOutput(streams.Err)
	if err := fs.Parse(args); err != nil {
		return subcommands.ExitUsageError
	}
	return newCommander(streams.Out).HelpCommand().Execute(ctx, fs)
}

// newCommander returns a commander that only writes help texts; Run dispatches the
// commands itself.
func newCommander(output io.Writer) *subcommands.Commander {
	commander := subcommands.NewCommander(flag.NewFlagSet(program, flag.ContinueOnError), program)
	commander.Output = output
	commander.Error = output
	commander.Register(commander.HelpCommand(), "")
	for _, command := range Commands() {
		commander.Register(command, "")
	}
	return commander
}

// extraArguments returns a fault if there are arguments other than flags.
func extraArguments(fs *flag.FlagSet) []string {
	if fs.NArg() == 0 {
		return nil
	}
	return []string{"no arguments are accepted besides flags"}
}

// streamsOf returns the streams that Run passed.
func streamsOf(args []any) Streams { return args[0].(Streams) }

// fail prints the error and returns the exit status of a failure.
func fail(streams Streams, err error) subcommands.ExitStatus {
	fmt.Fprintf(streams.Err, "%s: %v\n", program, err)
	return subcommands.ExitFailure
}
