package settings

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newFlags returns a flag set with a duration and a list, and their values.
func newFlags() (fs *flag.FlagSet, wait *time.Duration, list *List) {
	fs = flag.NewFlagSet("test", flag.ContinueOnError)
	wait = fs.Duration("max-wait", time.Second, "")
	list = &List{}
	fs.Var(list, "list", "")
	return fs, wait, list
}

// TestFlagTakesPrecedence guards against the environment overriding a flag, and against
// flags after a positional argument being ignored.
func TestFlagTakesPrecedence(t *testing.T) {
	is := is.New(t)
	t.Setenv("FIREFLYFIELD_MAX_WAIT", "5s")
	t.Setenv("FIREFLYFIELD_LIST", "a, b")
	fs, wait, list := newFlags()
	faults, err := Parse(fs, []string{"one", "-max-wait", "7s", "two", "--", "-three"})
	is.NoErr(err)
	is.Equal(len(faults), 0)
	is.Equal(*wait, 7*time.Second)
	is.Equal([]string(*list), []string{"a", "b"})
	is.Equal(fs.Args(), []string{"one", "two", "-three"})
}

// TestEveryFaultIsReported guards against a fault that is not reported because another one
// precedes it, and against a fault that discloses a value from the environment, which may
// be a secret.
func TestEveryFaultIsReported(t *testing.T) {
	is := is.New(t)
	t.Setenv("FIREFLYFIELD_MAX_WAIT", "secret-value")
	fs, _, _ := newFlags()
	faults, err := Parse(fs, []string{"-nope=1", "-list", "a,,b", "-other", "x"})
	is.NoErr(err)
	is.Equal(faults, []string{
		"flag provided but not defined: -nope",
		`invalid value "a,,b" for flag -list: has an empty item`,
		"flag provided but not defined: -other",
		"bad value in the environment variable FIREFLYFIELD_MAX_WAIT",
	})
}

// TestCheckOperatorListener guards against an operators' listener that accepts other
// machines without a token.
func TestCheckOperatorListener(t *testing.T) {
	is := is.New(t)
	is.Equal(CheckOperatorListener("127.0.0.1:7403", ""), "")
	is.Equal(CheckOperatorListener("[::1]:7403", ""), "")
	is.Equal(CheckOperatorListener("10.0.0.1:7403", "x"), "")
	is.True(CheckOperatorListener("10.0.0.1:7403", "") != "")
	is.True(CheckOperatorListener(":7403", "") != "")
	is.True(CheckOperatorListener("7403", "x") != "")
}
