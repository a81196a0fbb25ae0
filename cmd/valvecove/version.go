package main

import (
	"fmt"
	"runtime/debug"
	"strings"
)

type versionCommand struct{}

// Help is appended to the subcommand's help.
func (versionCommand) Help() string {
	return `It prints the version of the module, the revision that it was built from, if the build recorded one, and the Go version.`
}

// run prints the version.
func (*versionCommand) run(env environment) int {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		info = &debug.BuildInfo{}
	}
	fmt.Fprintln(env.stdout, describeBuild(info))
	return exitOK
}

// describeBuild returns three lines: the module's version, the revision and the Go version.
func describeBuild(info *debug.BuildInfo) string {
	settings := map[string]string{}
	for _, setting := range info.Settings {
		settings[setting.Key] = setting.Value
	}
	revision := orDefault(settings["vcs.revision"], "unknown")
	if settings["vcs.modified"] == "true" {
		revision += ", modified"
	}
	if commitTime := settings["vcs.time"]; commitTime != "" {
		revision += ", " + commitTime
	}
	goVersion := orDefault(strings.TrimPrefix(info.GoVersion, "go"), "unknown")
	return strings.Join([]string{
		"valvecove " + orDefault(info.Main.Version, "unknown"),
		"revision  " + revision,
		"go        " + goVersion + " " + settings["GOOS"] + "/" + settings["GOARCH"],
	}, "\n")
}
