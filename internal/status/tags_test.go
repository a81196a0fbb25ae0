package status

import (
	"testing"

	"valvecove/internal/storedform"
)

// The names in the JSON of the status call are set by tags, so that renaming a Go field does not change them.
func TestReportIsTagged(t *testing.T) { storedform.CheckTags(t, Report{}) }
