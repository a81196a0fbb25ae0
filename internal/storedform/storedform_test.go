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

// Every field that a rename would change is found, wherever it stands, and nothing else.
func TestUntagged(t *testing.T) {
	want := []string{
		"storedform.Embedded.Bare: no name in a json tag",
		"storedform.inner.Unnamed: no name in a json tag",
		"struct { X int }.X: no name in a json tag",
		"storedform.outer.Any: interface {} does not say what is written",
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
	base                  // its fields are promoted, though it is not exported
	List    []base        `name:"list"`
	Wait    time.Duration `name:"wait"`
	At      time.Time     `name:"at"` // which has a form of its own
	Unnamed int           `json:"unnamed" name:""`
	Skipped outer         `name:"-"`
}

// So it is by the tags of another reader, and an embedded struct's fields count though its type is not exported.
func TestUntaggedBy(t *testing.T) {
	want := []string{"storedform.base.Bare: no name in a name tag", "storedform.options.Unnamed: no name in a name tag"}
	if got := UntaggedBy("name", []options{}); !slices.Equal(got, want) {
		t.Errorf("%q, expected %q", got, want)
	}
}

func TestZero(t *testing.T) {
	value := outer{Embedded: Embedded{"b"}, List: []inner{{Named: 1, hidden: 1}}, Raw: json.RawMessage("1")}
	want := []string{"storedform.outer.List[0].Unnamed", "storedform.outer.Table", "storedform.outer.Any", "storedform.outer.Itself"}
	if got := Zero(value); !slices.Equal(got, want) {
		t.Errorf("%q, expected %q", got, want)
	}
}
