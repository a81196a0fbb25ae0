package status

import (
	"testing"

	"valvecove/internal/storedform"
)

// The status call's answer has its names in tags.
func TestAnswerIsTagged(t *testing.T) { storedform.CheckTags(t, answer{}) }
