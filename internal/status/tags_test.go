package status

import (
	"testing"

	"valvecove/internal/storedform"
)

// The JSON of the status call has its names in tags.
func TestReportIsTagged(t *testing.T) { storedform.CheckTags(t, Report{}) }
