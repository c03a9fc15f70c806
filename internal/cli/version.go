package cli

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

// versionCommand prints the module version, the source revision and the Go
// version of the build.
type versionCommand struct{}

// Name implements subcommands.Command.
func (*versionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*versionCommand) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*versionCommand) Usage() string {
	return `version:
  Prints the module version, the revision of the source and the Go version.
  Example: fireflyfield version
`
}

// SetFlags implements subcommands.Command.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Check implements Checker.
func (*versionCommand) Check(fs *flag.FlagSet) []string {
	if fs.NArg() > 0 {
		return []string{"no arguments are accepted"}
	}
	return nil
}

// Execute implements subcommands.Command.
func (*versionCommand) Execute(_ context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Fprintln(streamsOf(args).Out, program, "unknown")
		return subcommands.ExitSuccess
	}
	source := "unknown"
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			source = setting.Value
		}
	}
	fmt.Fprintln(streamsOf(args).Out, program, info.Main.Version, "source", source, info.GoVersion)
	return subcommands.ExitSuccess
}
