package storedform

import (
	"encoding/json"
	"slices"
	"testing"
	"time"
)

type inner struct {
	Named   time.Duration `json:"Named"`
	Unnamed int           `json:",omitempty"`
	hidden  int
}

type Embedded struct{ Bare string }

type outer struct {
	Embedded
	List    []inner                     `json:"list"`
	Table   map[string]*struct{ X int } `json:"table"`
	Skipped chan int                    `json:"-"`
	Any     any                         `json:"any"`
	Raw     json.RawMessage             `json:"raw"`
	Itself  *outer                      `json:"itself"`
}

// Untagged lists each field whose renaming would change the encoding, at any depth, and nothing else.
func TestUntagged(t *testing.T) {
	want := []string{
		"storedform.Embedded.Bare: no name in a json tag",
		"storedform.inner.Unnamed: no name in a json tag",
		"struct { X int }.X: no name in a json tag",
		"storedform.outer.Any: type interface {} does not determine the encoding",
	}
	if got := Untagged(outer{}); !slices.Equal(got, want) {
		t.Errorf("%q, expected %q", got, want)
	}
	if got := Untagged(nil); len(got) != 1 {
		t.Errorf("a root without a type: %q", got)
	}
}

type base struct{ Bare int }

type options struct {
	base                  // its fields are promoted although its type is not exported
	List    []base        `name:"list"`
	Wait    time.Duration `name:"wait"`
	At      time.Time     `name:"at"` // defines its own encoding
	Unnamed int           `json:"unnamed" name:""`
	Skipped outer         `name:"-"`
}

// UntaggedBy does the same for other tags. The fields of an embedded struct are listed even if its type is not exported.
func TestUntaggedBy(t *testing.T) {
	want := []string{"storedform.base.Bare: no name in a name tag", "storedform.options.Unnamed: no name in a name tag"}
	if got := UntaggedBy("name", []options{}); !slices.Equal(got, want) {
		t.Errorf("%q, expected %q", got, want)
	}
}

func TestZero(t *testing.T) {
	value := outer{Embedded: Embedded{"b"}, List: []inner{{Named: 1, hidden: 1}}, Raw: json.RawMessage("1")}
	want := []string{"storedform.outer.List[0].Unnamed", "storedform.outer.Table", "storedform.outer.Any", "storedform.outer.Itself"}
	if got := ZeroFields(value); !slices.Equal(got, want) {
		t.Errorf("%q, expected %q", got, want)
	}
}
