package cli

import (
	"context"
	"flag"
	"slices"
	"strings"
	"time"

	"fireflyfield/internal/operator/client"
	"fireflyfield/internal/resource"
	"fireflyfield/internal/settings"

	"github.com/go-faster/errors"
)

// DefaultOperatorAddress is the default address of the operators' listener.
const DefaultOperatorAddress = "127.0.0.1:7403"

// defaultTimeout bounds a command that calls a VM.
const defaultTimeout = 30 * time.Second

// connectionFlags holds the flags of the commands that call a VM.
type connectionFlags struct {
	addresses settings.List
	token     string
	timeout   time.Duration
}

func (c *connectionFlags) register(fs *flag.FlagSet) {
	c.addresses = settings.List{DefaultOperatorAddress}
	fs.Var(&c.addresses, "address", "operators' listeners of the VMs, HOST:PORT,...; the next is tried if one does not answer")
	fs.StringVar(&c.token, "token", "", "bearer token of the operators; prefer the environment, since arguments show in the process list")
	fs.DurationVar(&c.timeout, "timeout", defaultTimeout, "longest time for the command")
}

// check returns every fault of the flags.
func (c *connectionFlags) check() []string {
	var faults []string
	if _, err := c.newClient(); err != nil {
		faults = append(faults, "-address: "+err.Error())
	}
	if c.timeout <= 0 {
		faults = append(faults, "-timeout must be positive")
	}
	return faults
}

func (c *connectionFlags) newClient() (*client.Client, error) {
	return client.New(c.addresses, c.token, nil)
}

// withTimeout returns a context that ends after the time of -timeout.
func (c *connectionFlags) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.timeout)
}

// parseKind parses a kind in upper or lower case, in singular or plural.
func parseKind(text string) (resource.Kind, error) {
	wanted := strings.TrimSuffix(strings.ToLower(text), "s")
	index := slices.IndexFunc(resource.Kinds, func(kind resource.Kind) bool {
		return strings.ToLower(string(kind)) == wanted
	})
	if index < 0 {
		return "", errors.Errorf("unknown kind %q, must be one of %s", text, kindNames())
	}
	return resource.Kinds[index], nil
}

func kindNames() string {
	names := make([]string, len(resource.Kinds))
	for i, kind := range resource.Kinds {
		names[i] = string(kind)
	}
	return strings.Join(names, ", ")
}

// checkArguments checks the number of arguments and that the first one is a kind
// or one of the keywords. usage describes the arguments in the returned fault.
func checkArguments(args []string, minCount, maxCount int, usage string, keywords ...string) []string {
	if len(args) < minCount || len(args) > maxCount {
		return []string{"expected arguments: " + usage}
	}
	if len(args) == 0 || slices.Contains(keywords, args[0]) {
		return nil
	}
	if _, err := parseKind(args[0]); err != nil {
		return []string{err.Error()}
	}
	return nil
}
