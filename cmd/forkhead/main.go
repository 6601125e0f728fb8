// Forkhead is a scheduler that places long-running work on the machines of a cluster.
package main

import (
	"os"

	"forkhead/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
