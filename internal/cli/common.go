// Package cli holds the subcommands of the fireflyfield binary.
package cli

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"github.com/peterbourgon/ff/v3"
	"go.uber.org/zap"
)

// envPrefix begins the environment variables of all settings.
const envPrefix = "FIREFLYFIELD"

// prepare fills flags that were not given from the environment and refuses
// arguments that are left over.
func prepare(fs *flag.FlagSet) error {
	if fs.NArg() > 0 {
		return errors.Errorf("unexpected argument %q", fs.Arg(0))
	}
	return ff.Parse(fs, nil, ff.WithEnvVarPrefix(envPrefix))
}

// parse reads flags and the environment.
func parse(fs *flag.FlagSet, args []string) error {
	fs.SetOutput(io.Discard)
	if err := fs.Parse(args); err != nil {
		return err
	}
	return prepare(fs)
}

// usageError prints the fault on one line and returns exit status 2.
func usageError(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "fireflyfield:", strings.ReplaceAll(err.Error(), "\n", "; "))
	return subcommands.ExitUsageError
}

// failure prints an error that is not a fault of usage and returns exit status 1.
func failure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "fireflyfield:", err)
	return subcommands.ExitFailure
}

func newLogger(level, format string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	if format != "json" && format != "console" {
		return nil, errors.Errorf("-log-format: %q is neither json nor console", format)
	}
	config.Encoding = format
	config.Sampling = nil
	if err := config.Level.UnmarshalText([]byte(level)); err != nil {
		return nil, errors.Errorf("-log-level: %q is not one of debug, info, warn, error", level)
	}
	return config.Build()
}
