// Command standin runs simulated targets, a key-value service and a host list, as configured
// by a settings file.
package main

import (
	"os"

	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

func main() {
	program := &simulator.Program{Out: os.Stdout, Err: os.Stderr}
	os.Exit(program.Run(os.Args[1:]))
}
