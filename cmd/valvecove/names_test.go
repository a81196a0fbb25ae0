package main

import (
	"reflect"
	"testing"

	"valvecove/internal/formtest"
)

// Each command, argument and option says its own name: none takes that of its Go field, which a rename would change.
func TestCommandLineNamesAreExplicit(t *testing.T) {
	for _, field := range formtest.Untagged("name", reflect.TypeFor[commands]()) {
		t.Errorf("%s has no explicit name", field)
	}
}
