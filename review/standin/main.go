package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case and writes its record into the folder.
func runCase(name, folder string) int {
	cases := map[string]func(dir string, out io.Writer, trouble bool) (broken bool, err error){
		"cold": coldCase, "attempts": attemptsCase, "gone": goneCase, "quota": quotaCase,
	}
	c := cases[name]
	if c == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.Close() //nolint:errcheck // the process ends next
	dir, err := os.MkdirTemp("", "review-"+name+"-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir) //nolint:errcheck // a temporary folder
	} else {
		fmt.Println("logs:", dir)
	}
	broken, err := c(dir, out, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(out, "not run:", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case broken:
		fmt.Println("broken")
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
