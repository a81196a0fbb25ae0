package formtest

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

type whole struct {
	Tagged  int `json:"tagged"`
	Bare    int
	NoName  int           `json:",omitempty"`
	Hidden  bare          `json:"-"`
	At      time.Time     `json:"at"`
	List    []*inList     `json:"list"`
	ByName  map[string]in `json:"by_name"`
	private inPrivate
	embedded
	Again *whole `json:"again"`
}

type (
	bare      struct{ Left int }
	inList    struct{ Bare int }
	in        struct{ Bare int }
	inPrivate struct{ Bare int }
	embedded  struct{ Bare int }
)

func TestUntagged(t *testing.T) {
	_ = whole{}.private
	got := Untagged("json", reflect.TypeFor[[]whole]())
	want := []string{"formtest.embedded.Bare", "formtest.in.Bare", "formtest.inList.Bare", "formtest.whole.Bare", "formtest.whole.NoName"}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, expected %v", got, want)
	}
}
