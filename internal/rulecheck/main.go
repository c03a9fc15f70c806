// Command rulecheck takes the ownership rules out of the code one at a time, and prints which
// tests fail without each. The work tree is not changed. Run it from the root of the module:
//
//	go run ./internal/rulecheck -run '^lapse:'
//
// A package whose tests take long is quicker with those that are meant to notice: -tests 'Claim'.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

func main() {
	ok, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if !ok || err != nil {
		os.Exit(1)
	}
}

// run checks the selected rules, and reports whether tests fail without each of them.
func run() (bool, error) {
	names := flag.String("run", "", "regular expression of the rules to check, by name")
	tests := flag.String("tests", "", "regular expression of the tests to run; all if empty")
	jobs := flag.Int("jobs", 2, "number of rules that are checked at once")
	first := flag.Bool("first", false, "stop the tests of a rule at the first failure")
	timeout := flag.Duration("timeout", 10*time.Minute, "limit for the tests of one rule")
	flag.Parse()
	pattern, err := regexp.Compile(*names)
	if err != nil {
		return false, errors.Wrap(err, "-run")
	}
	root, err := filepath.Abs(".")
	if err != nil {
		return false, errors.Wrap(err, "find the module")
	}
	if _, err := os.Stat(filepath.Join(root, "go.mod")); err != nil {
		return false, errors.Wrap(err, "run rulecheck from the root of the module")
	}
	c := checker{root: root, tests: *tests, first: *first, timeout: *timeout}
	ctx, rules := context.Background(), selectRules(pattern)
	if err := c.checkUnedited(ctx, rules); err != nil {
		return false, err
	}
	return c.checkAll(ctx, rules, max(1, *jobs)), nil
}

// selectRules returns the rules whose names match.
func selectRules(pattern *regexp.Regexp) []rule {
	var selected []rule
	for _, r := range allRules() {
		if pattern.MatchString(r.Name) {
			selected = append(selected, r)
		}
	}
	return selected
}

// checkAll prints a line for each rule, and reports whether all are caught.
func (c *checker) checkAll(ctx context.Context, rules []rule, jobs int) bool {
	queue := make(chan *rule)
	ok := true
	var mu sync.Mutex
	var workers sync.WaitGroup
	for range jobs {
		workers.Go(func() {
			for r := range queue {
				v, err := c.check(ctx, r)
				mu.Lock()
				ok = printVerdict(r, &v, err) && ok
				mu.Unlock()
			}
		})
	}
	for i := range rules {
		queue <- &rules[i]
	}
	close(queue)
	workers.Wait()
	return ok
}

// printVerdict prints the line of a rule, and reports whether it is caught.
func printVerdict(r *rule, v *verdict, err error) bool {
	if err != nil {
		fmt.Printf("%s: %s: ERROR in the list: %v\n", r.File, r.Name, err)
		return false
	}
	fmt.Printf("%s: %s: %v\n", r.File, r.Name, v)
	return v.failed
}
