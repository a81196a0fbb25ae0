package process

import (
	"testing"

	"valvecove/internal/requests"
	"valvecove/internal/storedform"
)

// Every field of what the testbed's workers and discovery send has a tag with its name on the wire.
func TestWireIsTagged(t *testing.T) { storedform.CheckTags(t, callbackForm{}, requests.EndpointList{}) }
