package link

import (
	"testing"

	"valvecove/internal/ledger"
	"valvecove/internal/storedform"
)

// What worker nodes and discovery send is read by names in tags.
func TestWireIsTagged(t *testing.T) { storedform.CheckTags(t, ledger.Note{}, ledger.HostGroup{}) }
