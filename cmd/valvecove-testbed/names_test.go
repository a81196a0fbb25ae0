package main

import (
	"testing"

	"valvecove/internal/storedform"
)

// Each command, argument and option says its own name: none takes that of its Go field, which a rename would change.
func TestCommandLineNamesAreExplicit(t *testing.T) { storedform.CheckTagsBy(t, "name", commands{}) }
