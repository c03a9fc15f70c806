// Package settings reads settings from flags and from the environment. Every flag
// can be given as the variable FIREFLYFIELD_<FLAG> too; the flag takes precedence.
package settings

import (
	"flag"
	"io"
	"net"
	"strings"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix is the prefix of every environment variable, without the underscore.
const EnvPrefix = "FIREFLYFIELD"

// EnvName returns the environment variable of the flag.
func EnvName(name string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Parse reads the arguments and then the environment into the flags. Flags may
// follow positional arguments. It returns every fault as one line; the error is
// flag.ErrHelp if help was asked for, else nil.
func Parse(fs *flag.FlagSet, args []string) (faults []string, err error) {
	fs.SetOutput(io.Discard)
	fs.Usage = func() {}
	positional, faults, err := parseArguments(fs, args)
	if err != nil {
		return nil, err
	}
	faults = append(faults, parseEnvironment(fs)...)
	if err := fs.Parse(append([]string{"--"}, positional...)); err != nil {
		faults = append(faults, err.Error())
	}
	return faults, nil
}

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
			faults = append(faults, oneLine(err))
			rest = skipValue(rest)
		}
		args = rest
	}
	return positional, faults, nil
}

func isFlag(arg string) bool { return len(arg) > 1 && arg[0] == '-' }

// skipValue leaves out what is probably the value of a faulty flag.
func skipValue(args []string) []string {
	if len(args) > 0 && !isFlag(args[0]) {
		return args[1:]
	}
	return args
}

// parseEnvironment reads each flag that was not given on its own, so that every
// fault is found.
func parseEnvironment(fs *flag.FlagSet) []string {
	given := make(map[string]bool)
	fs.Visit(func(f *flag.Flag) { given[f.Name] = true })
	var faults []string
	fs.VisitAll(func(f *flag.Flag) {
		if given[f.Name] {
			return
		}
		single := flag.NewFlagSet(f.Name, flag.ContinueOnError)
		single.SetOutput(io.Discard)
		single.Var(f.Value, f.Name, f.Usage)
		if err := ff.Parse(single, nil, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
			faults = append(faults, "bad value in the environment variable "+EnvName(f.Name))
		}
	})
	return faults
}

func oneLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// List is a flag value that holds several strings, separated by commas. Giving the
// flag again replaces the list.
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

// CheckListener returns a fault if the operators' listener would accept other
// machines without a token, and an empty string otherwise.
func CheckListener(address, token string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "the address of the operators' listener is not HOST:PORT"
	}
	if token != "" || host == "localhost" || net.ParseIP(host).IsLoopback() {
		return ""
	}
	return "-token is missing; the operators' listener needs one unless it binds to loopback"
}
