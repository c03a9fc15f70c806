// Command fireflyfield routes requests to backend servers that own keys
// exclusively.
package main

import (
	"os"

	"fireflyfield/internal/cli"
)

func main() { os.Exit(cli.Main()) }
