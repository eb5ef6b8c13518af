package commander

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// versionCommand prints the version of the program.
type versionCommand struct {
	JSON bool `long:"json" description:"print the answer in JSON"`

	commander *Commander
}

// versionAnswer describes the program.
type versionAnswer struct {
	Version string `json:"version"`
	Commit  string `json:"commit,omitempty"`
	Go      string `json:"go"`
}

// Execute runs the command.
func (c *versionCommand) Execute([]string) error {
	answer := versionAnswer{Version: "unknown", Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		answer.Version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				answer.Commit = setting.Value
			}
		}
	}
	if c.JSON {
		return printJSON(c.commander.Out, answer)
	}
	_, err := fmt.Fprintln(c.commander.Out, "wigeonspindle", answer.Version, answer.Commit, answer.Go)
	return err
}
