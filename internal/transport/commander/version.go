package commander

import (
	"fmt"
	"runtime/debug"
)

// versionCommand prints the version of the program.
type versionCommand struct {
	commander *Commander
}

// Execute runs the command.
func (c *versionCommand) Execute([]string) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	_, err := fmt.Fprintln(c.commander.Out, "wigeonspindle", version)
	return err
}
