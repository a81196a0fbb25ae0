package storedform

import (
	"slices"
	"testing"
)

// A field without a fate, a fate without a field, a reason or a record, and a field of a record that transfers nothing are found.
func TestFaultyFates(t *testing.T) {
	type state struct{ Kept, Derived, Forgotten, Blank int }
	type record struct{ Kept, Unused int }
	want := []string{
		"storedform.state.Blank: no record and no reason",
		"storedform.state.Forgotten: no fate at a hot restart",
		"storedform.state.Kept: no record has the field record.Other",
		"storedform.state.Renamed: no such field",
		"record.Unused: transfers no field",
	}
	got := FaultyFates([]any{record{}}, FatesOf[state](map[string]Fate{
		"Kept":    Transferred("record.Kept", "record.Other"),
		"Derived": Derived("from Kept"),
		"Blank":   Dropped(" "),
		"Renamed": Dropped("it is gone"),
	}))
	if !slices.Equal(got, want) {
		t.Errorf("%q, expected %q", got, want)
	}
}
