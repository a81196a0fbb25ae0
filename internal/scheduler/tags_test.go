package scheduler

import (
	"testing"

	"valvecove/internal/requests"
	"valvecove/internal/storedform"
)

// What workers and discovery send is read by names in tags.
func TestWireIsTagged(t *testing.T) {
	storedform.CheckTags(t, requests.Callback{}, requests.EndpointList{})
}
