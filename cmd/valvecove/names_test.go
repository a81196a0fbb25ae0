package main

import (
	"testing"

	"valvecove/internal/storedform"
)

// Each subcommand, argument and option has an explicit name, so that a rename of its Go field does not change it.
func TestCommandLineNamesAreExplicit(t *testing.T) { storedform.CheckTagsBy(t, "name", commands{}) }
