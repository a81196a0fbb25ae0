// Package succession is what two processes of one scheduler say to each other while the younger one, the heir, takes
// the place of the older one, the elder: frames on a Unix socket, some of which carry a descriptor, and the order in which
// they may come. It has no sockets and no clock.
//
// A frame is four bytes of length, its kind, the number of descriptors that its first byte carries (0 or 1), and as many
// bytes of JSON, or of the module's state, as the length says. Numbers are in network order.
package succession

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/internal/ledger"
)

// Form is the version of all this. An heir and an elder of different forms do not talk: the elder says no.
const Form = 1

// Bounds of a frame.
const (
	headLen = 6
	// MaxFrame is how many bytes a frame holds beyond its head: a client link with all it may hoard, in JSON's form.
	MaxFrame = 1 << 20
	// Piece is how many bytes of the module's state go in one frame, at most.
	Piece = 256 << 10
	// MaxModule is how many bytes the module's state may have.
	MaxModule = 64 << 20
)

// Kind is what a frame says.
type Kind byte

// Kinds, with who says them.
const (
	KindHello   Kind = 1 + iota // heir: it is there, and would take over
	KindWelcome                 // elder: it may stand by; with the listening socket
	KindDenied                  // elder: it may not
	KindBan                     // whoever does not serve: a worker node is to be taken out, or brought back
	KindBanned                  // whoever serves: what has become of that
	KindBans                    // elder: the worker nodes that are out by now
	KindBegin                   // elder: all that it has comes now
	KindModule                  // a piece of the module's state
	KindBook                    // what the ledger has besides queries
	KindQuery
	KindClient // a client link; with its socket
	KindServer // a server link; with its socket
	KindEnd    // elder: that was all
	KindTaken  // heir: it is the owner now
	kinds
)

func (k Kind) String() string {
	if k < KindHello || k >= kinds {
		return fmt.Sprintf("kind %d", byte(k))
	}
	return [...]string{"hello", "welcome", "denied", "ban", "banned", "bans", "begin", "module", "book", "query", "client link",
		"server link", "end", "taken"}[k-KindHello]
}

// carries tells which frames come with a descriptor.
func (k Kind) carries() bool { return k == KindWelcome || k == KindClient || k == KindServer }

// The bodies of frames; those of the module are its bytes, and KindBegin and KindTaken have none. The other process may be
// of another build: the names in the tags, and the order of the fields, are part of the form.
type (
	// Hello opens the talk.
	Hello struct {
		Form int `json:"Form"`
	}
	// Welcome answers it.
	Welcome struct {
		Form int      `json:"Form"`
		Out  []string `json:"Out"` // worker nodes that are out by hand
	}
	// Denied says why not.
	Denied struct {
		Why string `json:"Why"`
	}
	// Ban is an operator's call that came to the process that does not serve.
	Ban struct {
		Seq uint64 `json:"Seq"`
		ID  string `json:"ID"`
		Out bool   `json:"Out"`
	}
	// Banned is how its caller is to be answered.
	Banned struct {
		Seq  uint64 `json:"Seq"`
		Code int    `json:"Code"`
		What string `json:"What"`
	}
	// Bans are the ids of all worker nodes that are out.
	Bans struct {
		Out []string `json:"Out"`
	}
	// ClientLink is one accepted connection.
	ClientLink struct {
		In         []byte        `json:"In"`
		Out        []byte        `json:"Out"`
		Turns      []Turn        `json:"Turns"`
		Last       bool          `json:"Last"`
		Ended      bool          `json:"Ended"`
		Half       bool          `json:"Half"`
		Continued  bool          `json:"Continued"`
		Spoke      bool          `json:"Spoke"`
		Useful     bool          `json:"Useful"`
		Introduced bool          `json:"Introduced"`
		Since      time.Duration `json:"Since"`  // as Unix time
		Client     string        `json:"Client"` // an address, as the next
		Via        string        `json:"Via"`    // none: empty
	}
	// Turn is a request's place in the order of a link's answers.
	Turn struct {
		Query  uint64        `json:"Query"` // 0: none, or left
		Keep   bool          `json:"Keep"`
		Done   bool          `json:"Done"`
		Status int           `json:"Status"`
		Body   []byte        `json:"Body"`
		Retry  time.Duration `json:"Retry"`
	}
	// ServerLink is a connection to a worker node: idle, or with an attempt.
	ServerLink struct {
		Host    string        `json:"Host"`
		State   int           `json:"State"`
		Query   uint64        `json:"Query"` // of the attempt; 0: none
		Attempt int           `json:"Attempt"`
		Stage   ledger.Stage  `json:"Stage"`
		In      []byte        `json:"In"`
		Out     []byte        `json:"Out"`
		Rested  time.Duration `json:"Rested"`
		IdleAt  time.Duration `json:"IdleAt"`
	}
	// End counts the frames since KindBegin, itself left out.
	End struct {
		Frames int `json:"Frames"`
	}
)

// Frame is one of them. Its body lies in the bytes that were read.
type Frame struct {
	Kind Kind
	FDs  int
	Body []byte
}

// ErrShort means that a frame is not whole yet.
var ErrShort = errors.New("more is needed")

// Read finds the frame at the start of b and how many bytes it takes up.
func Read(b []byte) (f Frame, n int, err error) {
	if len(b) < headLen {
		return Frame{}, 0, ErrShort
	}
	size := binary.BigEndian.Uint32(b)
	f = Frame{Kind: Kind(b[4]), FDs: int(b[5])}
	switch {
	case size > MaxFrame:
		return Frame{}, 0, fmt.Errorf("a frame of %d bytes, %d allowed", size, MaxFrame)
	case f.Kind < KindHello || f.Kind >= kinds:
		return Frame{}, 0, fmt.Errorf("a frame of %v", f.Kind)
	case f.FDs > 1 || (f.FDs == 1) != f.Kind.carries():
		return Frame{}, 0, fmt.Errorf("%v with %d descriptors", f.Kind, f.FDs)
	case len(b) < headLen+int(size):
		return Frame{}, 0, ErrShort
	}
	f.Body = b[headLen : headLen+int(size)]
	return f, headLen + int(size), nil
}

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// Append writes a frame to b. body is one of the types above, bytes, or nil.
func Append(b []byte, kind Kind, body any) ([]byte, error) {
	var text []byte
	switch x := body.(type) {
	case nil:
	case []byte:
		text = x
	default:
		var err error
		if text, err = json.Marshal(body); err != nil {
			return b, fmt.Errorf("%v: %w", kind, err)
		}
	}
	if len(text) > MaxFrame {
		return b, fmt.Errorf("%v of %d bytes, %d allowed", kind, len(text), MaxFrame)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	fds := byte(0)
	if kind.carries() {
		fds = 1
	}
	return append(append(b, byte(kind), fds), text...), nil
}

// Decode reads the body of a frame into one of the types above.
func (f Frame) Decode(into any) error {
	if err := json.Unmarshal(f.Body, into); err != nil {
		return fmt.Errorf("%v: %w", f.Kind, err)
	}
	return nil
}
