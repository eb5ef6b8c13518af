package commander

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

type versionCommand struct {
	JSON bool `long:"json" description:"print the answer in JSON"`

	commander *Commander
}

// versionInfo describes the build of the program.
type versionInfo struct {
	Version string `json:"version"`
	Commit  string `json:"commit,omitempty"`
	Go      string `json:"go"`
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	version := versionInfo{Version: "unknown", Go: runtime.Version()}
	if build, ok := debug.ReadBuildInfo(); ok {
		version.Version = build.Main.Version
		for _, setting := range build.Settings {
			if setting.Key == "vcs.revision" {
				version.Commit = setting.Value
			}
		}
	}
	if c.JSON {
		return printJSON(c.commander.Out, version)
	}
	_, err := fmt.Fprintln(c.commander.Out, "wigeonspindle", version.Version, version.Commit, version.Go)
	return err
}
