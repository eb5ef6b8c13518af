// Command wigeonspindle runs a host of the query tier and provides the operators' commands.
package main

import (
	"os"

	"wigeonspindle.example/wigeonspindle/internal/transport/commander"
)

func main() {
	command := &commander.Commander{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(command.Run(os.Args[1:]))
}
