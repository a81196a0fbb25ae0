package capture

import (
	"testing"

	"valvecove/internal/storedform"
)

// Lines of captures have their names in tags: renamed in Go, they are still read by builds before and after.
func TestLinesAreTagged(t *testing.T) { storedform.CheckTags(t, Line{}) }
