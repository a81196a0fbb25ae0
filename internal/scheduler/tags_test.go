package scheduler

import (
	"testing"

	"valvecove/internal/requests"
	"valvecove/internal/storedform"
)

// The types that messages of workers and discovery are decoded to have a tag on each field.
func TestWireIsTagged(t *testing.T) {
	storedform.CheckTags(t, requests.Callback{}, requests.EndpointList{})
}
