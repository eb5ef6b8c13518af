// Command standin runs the stand-ins for the outside systems from a settings file.
package main

import (
	"os"

	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

func main() {
	program := &simulator.Program{Out: os.Stdout, Err: os.Stderr}
	os.Exit(program.Run(os.Args[1:]))
}
