package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"valvecove/internal/config"
)

type checkCommand struct {
	Platform string `name:"platform" placeholder:"FILE" help:"The platform's file, in place of the one that PROXY_CONFIG names."`
}

// Help is appended to the subcommand's help.
func (checkCommand) Help() string {
	return `It reads the operators' file and the platform's file. PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY replace keys that
are missing in the platform's file. It writes no file, opens no connection, and does not check whether the addresses
are in use. Errors are printed to standard error, each with its file and key.

Exit codes:

    0  both files are valid; standard output describes what serve would do
    1  there are errors in the files
    2  the command line is invalid`
}

// run prints the errors of both files, or the preview if there are none.
func (c *checkCommand) run(env environment) int {
	getenv := c.overridePlatform(env.getenv)
	conf, ops, errs := config.LoadAll(getenv, env.opsFile)
	errs = append(errs, checkPaths(ops, env.opsFile)...)
	for _, err := range errs {
		env.printError("valvecove check", err)
	}
	if len(errs) > 0 {
		return exitFailure
	}
	files := configFiles{platform: getenv("PROXY_CONFIG"), ops: env.opsFile}
	if err := writePreview(env.stdout, files, conf, ops); err != nil {
		env.printError("valvecove check", err)
		return exitFailure
	}
	return exitOK
}

// overridePlatform returns getenv, or if --platform is given, a function like getenv that returns that file for PROXY_CONFIG.
func (c *checkCommand) overridePlatform(getenv func(name string) string) func(name string) string {
	if c.Platform == "" {
		return getenv
	}
	return func(name string) string {
		if name == "PROXY_CONFIG" {
			return c.Platform
		}
		return getenv(name)
	}
}

// checkPaths returns an error for each file or directory of a feature that serve could not write to. It changes nothing.
func checkPaths(ops config.Ops, opsFile string) []error {
	var errs []error
	add := func(key string, err error) {
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: key %q: %w", opsFile, key, err))
		}
	}
	if ops.Capture != nil && ops.Capture.Dir != "" {
		add("capture.dir", checkWritable(ops.Capture.Dir, true))
	}
	if ops.Metrics != nil && ops.Metrics.File != "" {
		err := checkWritable(ops.Metrics.File, false)
		if errors.Is(err, os.ErrNotExist) { // serve would create it
			err = checkWritable(filepath.Dir(ops.Metrics.File), true)
		}
		add("figures.file", err)
	}
	return errs
}

// checkWritable returns an error unless this process may write to a path, which must be a directory if wantDir is set, and a file
// otherwise.
func checkWritable(path string, wantDir bool) error {
	info, err := os.Stat(path)
	switch {
	case err != nil:
		return err
	case wantDir && !info.IsDir():
		return fmt.Errorf("%s is not a directory", path)
	case !wantDir && info.IsDir():
		return fmt.Errorf("%s is a directory", path)
	}
	if err := unix.Access(path, unix.W_OK); err != nil {
		return fmt.Errorf("writing to %s: %w", path, err)
	}
	return nil
}
