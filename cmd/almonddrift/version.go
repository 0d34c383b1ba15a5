package main

import (
	"fmt"
	"io"
	"runtime/debug"
)

// versionCommand prints the version of the program.
type versionCommand struct {
	JSON bool `help:"Print JSON."`
}

// Help implements kong.HelpProvider.
func (v *versionCommand) Help() string {
	return "Example: almonddrift version --json"
}

// buildInfo is the version of the program as recorded by the Go toolchain.
type buildInfo struct {
	Version string `json:"version"`
	Commit  string `json:"commit"`
	Go      string `json:"go"`
}

// Write implements textWriter.
func (b buildInfo) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "almonddrift %s %s %s\n", b.Version, b.Commit, b.Go)
	return err
}

// Run implements the command.
func (v *versionCommand) Run(out *output) error {
	b := buildInfo{Version: "unknown", Commit: "unknown"}
	if info, found := debug.ReadBuildInfo(); found {
		b.Version, b.Go = info.Main.Version, info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				b.Commit = s.Value
			}
		}
	}
	return out.print(v.JSON, b)
}
