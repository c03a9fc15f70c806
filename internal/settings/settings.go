// Package settings reads the flags of a command and, for each flag that is not given, the
// environment variable FIREFLYFIELD_<FLAG>. Which flags exist and what they mean is left
// to the commands.
package settings

import (
	"flag"
	"io"
	"net"
	"strings"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix is the prefix of every environment variable, without the underscore that
// follows it.
const EnvPrefix = "FIREFLYFIELD"

// EnvName returns the name of the environment variable for the flag with the given name,
// such as FIREFLYFIELD_LOG_LEVEL for log-level.
func EnvName(name string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Parse sets the flags from the arguments, and those that are not among them from the
// environment. Flags may follow positional arguments, until "--". It does not stop at the
// first fault but returns a line for each; a fault of the environment does not hold the
// value, which may be a secret. The error is flag.ErrHelp if help was requested, and nil
// otherwise.
func Parse(fs *flag.FlagSet, args []string) (faults []string, err error) {
	fs.SetOutput(io.Discard)
	fs.Usage = func() {}
	positional, faults, err := parseArguments(fs, args)
	if err != nil {
		return nil, err
	}
	faults = append(faults, parseEnvironment(fs)...)
	// Makes fs.Args return the positional arguments.
	if err := fs.Parse(append([]string{"--"}, positional...)); err != nil {
		faults = append(faults, err.Error())
	}
	return faults, nil
}

// parseArguments sets the flags in args and returns the positional arguments and a line
// for each fault.
func parseArguments(fs *flag.FlagSet, args []string) (positional, faults []string, err error) {
	for len(args) > 0 {
		if args[0] == "--" {
			return append(positional, args[1:]...), faults, nil
		}
		if !isFlag(args[0]) {
			positional = append(positional, args[0])
			args = args[1:]
			continue
		}
		err := fs.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			return nil, nil, err
		}
		rest := fs.Args()
		if err != nil {
			faults = append(faults, firstLine(err))
			rest = skipFlagValue(rest)
		}
		args = rest
	}
	return positional, faults, nil
}

// isFlag reports whether an argument has the form of a flag.
func isFlag(arg string) bool { return len(arg) > 1 && arg[0] == '-' }

// skipFlagValue skips the argument after a faulty flag, unless it is a flag itself: it is
// probably the value of the faulty one.
func skipFlagValue(args []string) []string {
	if len(args) > 0 && !isFlag(args[0]) {
		return args[1:]
	}
	return args
}

// parseEnvironment sets the flags that were not given from the environment and returns a
// line for each fault. Each flag is parsed in a flag set of its own, so that a fault does
// not hide others.
func parseEnvironment(fs *flag.FlagSet) []string {
	given := make(map[string]bool)
	fs.Visit(func(f *flag.Flag) { given[f.Name] = true })
	var faults []string
	fs.VisitAll(func(f *flag.Flag) {
		if given[f.Name] {
			return
		}
		ownSet := flag.NewFlagSet(f.Name, flag.ContinueOnError)
		ownSet.SetOutput(io.Discard)
		ownSet.Var(f.Value, f.Name, f.Usage)
		if err := ff.Parse(ownSet, nil, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
			faults = append(faults, "bad value in the environment variable "+EnvName(f.Name))
		}
	})
	return faults
}

// firstLine returns the message of an error without the lines after the first.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// List is the value of a flag that takes a list of strings, separated by commas. Spaces
// around an item are removed, and an empty item is an error. If the flag is given more
// than once, the last list counts.
type List []string

// String implements flag.Value.
func (l *List) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *List) Set(text string) error {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			return errors.New("has an empty item")
		}
		items = append(items, item)
	}
	*l = items
	return nil
}

// CheckOperatorListener returns a fault if address is not HOST:PORT, or if the operators'
// listener would accept connections from other machines without a token, that is, if
// token is empty and address is not on loopback. It returns an empty string otherwise.
func CheckOperatorListener(address, token string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "the address of the operators' listener is not HOST:PORT"
	}
	if token != "" || host == "localhost" || net.ParseIP(host).IsLoopback() {
		return ""
	}
	return "-token is missing; the operators' listener needs one unless it binds to loopback"
}
