package process

import (
	"testing"

	"valvecove/internal/requests"
	"valvecove/internal/storedform"
)

// What the testbed's workers and discovery send is written by names in tags.
func TestWireIsTagged(t *testing.T) { storedform.CheckTags(t, callbackForm{}, requests.EndpointList{}) }
