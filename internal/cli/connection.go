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

// DefaultOperatorAddress is the address of the operators' listener.
const DefaultOperatorAddress = "127.0.0.1:7403"

const defaultTimeout = 30 * time.Second

// connection is the settings of the commands that call a VM.
type connection struct {
	addresses settings.List
	token     string
	timeout   time.Duration
}

func (c *connection) register(fs *flag.FlagSet) {
	c.addresses = settings.List{DefaultOperatorAddress}
	fs.Var(&c.addresses, "address", "operators' listeners of the VMs, HOST:PORT,...; the next is tried when one is lost")
	fs.StringVar(&c.token, "token", "", "bearer token of the operators; prefer the environment, since arguments show in the process list")
	fs.DurationVar(&c.timeout, "timeout", defaultTimeout, "longest time for the command")
}

func (c *connection) check() []string {
	var faults []string
	if _, err := c.client(); err != nil {
		faults = append(faults, "-address: "+err.Error())
	}
	if c.timeout <= 0 {
		faults = append(faults, "-timeout must be positive")
	}
	return faults
}

func (c *connection) client() (*client.Client, error) {
	return client.New(c.addresses, c.token, nil)
}

func (c *connection) context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.timeout)
}

// parseKind accepts a kind in any case, in singular or plural.
func parseKind(text string) (resource.Kind, error) {
	wanted := strings.TrimSuffix(strings.ToLower(text), "s")
	index := slices.IndexFunc(resource.Kinds, func(kind resource.Kind) bool {
		return strings.ToLower(string(kind)) == wanted
	})
	if index < 0 {
		return "", errors.Errorf("unknown kind %q, the kinds are %s", text, kindNames())
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

// checkArguments checks KIND [NAME] with extra words that stand for a kind.
func checkArguments(args []string, least, most int, usage string, words ...string) []string {
	if len(args) < least || len(args) > most {
		return []string{"the arguments are " + usage}
	}
	if len(args) == 0 || slices.Contains(words, args[0]) {
		return nil
	}
	if _, err := parseKind(args[0]); err != nil {
		return []string{err.Error()}
	}
	return nil
}
