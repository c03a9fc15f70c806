package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"fireflyfield/internal/soak"
)

// soakCommand runs VMs under injected faults and checks their guarantees, once for
// each seed.
type soakCommand struct {
	options soak.Options
	seeds   int
}

// Name implements subcommands.Command.
func (*soakCommand) Name() string { return "soak" }

// Synopsis implements subcommands.Command.
func (*soakCommand) Synopsis() string {
	return "run VMs as processes under faults and check what they promise"
}

// Usage implements subcommands.Command.
func (*soakCommand) Usage() string {
	return `soak [-seed N] [-seeds COUNT] [-duration D] [-vms N] [-workers N] [-clients N] [-dir DIR] [-old PATH]:
  Runs VMs as separate processes on loopback against stand-ins, injects faults and
  checks what callers and backend servers see. Each seed is one run. The exit status
  is 1 if a check fails. Logs stay in DIR.
  Example: fireflyfield soak -seed 1 -seeds 50
`
}

// SetFlags implements subcommands.Command.
func (c *soakCommand) SetFlags(fs *flag.FlagSet) {
	fs.Uint64Var(&c.options.Seed, "seed", 0, "seed of the first run; 0 takes a fresh one")
	fs.IntVar(&c.seeds, "seeds", 1, "number of runs, with consecutive seeds")
	fs.DurationVar(&c.options.Duration, "duration", 20*time.Second, "time in which faults are injected")
	fs.IntVar(&c.options.VMs, "vms", 4, "number of VMs")
	fs.IntVar(&c.options.BackendsPerService, "workers", 3, "backend servers of each of the three services")
	fs.IntVar(&c.options.Clients, "clients", 8, "number of clients")
	fs.StringVar(&c.options.OldBinary, "old", "", "executable of another version that the VMs run first, to be upgraded one after the other")
	fs.StringVar(&c.options.Dir, "dir", "", "directory for settings and logs; a temporary one if empty")
}

// Check implements Checker.
func (c *soakCommand) Check(fs *flag.FlagSet) []string {
	faults := extraArguments(fs)
	if c.seeds < 1 || c.options.VMs < 1 || c.options.BackendsPerService < 1 || c.options.Clients < 1 {
		faults = append(faults, "-seeds, -vms, -workers and -clients must be at least 1")
	}
	return faults
}

// Execute implements subcommands.Command.
func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsOf(args)
	binary, err := os.Executable()
	if err != nil {
		return fail(streams, err)
	}
	c.options.Binary = binary
	parent := c.options.Dir
	if parent != "" {
		if err := os.MkdirAll(parent, 0o755); err != nil {
			return fail(streams, err)
		}
	}
	if c.options.Seed == 0 {
		c.options.Seed = uint64(time.Now().UnixNano())
	}
	status := subcommands.ExitSuccess
	for range c.seeds {
		if c.options.Dir, err = os.MkdirTemp(parent, fmt.Sprintf("soak-%d-", c.options.Seed)); err != nil {
			return fail(streams, err)
		}
		result, err := soak.Run(ctx, c.options)
		if err != nil {
			return fail(streams, err)
		}
		fmt.Fprintf(streams.Out, "seed %d: %d violations, %d faults, answers %v, logs in %s\n",
			c.options.Seed, len(result.Violations), len(result.Events), result.AnswerCounts, c.options.Dir)
		if len(result.Violations) > 0 {
			status = subcommands.ExitFailure
			for _, line := range append(result.Events, result.Violations...) {
				fmt.Fprintln(streams.Out, "  "+line)
			}
		}
		c.options.Seed++
	}
	return status
}
