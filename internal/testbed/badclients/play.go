package badclients

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is the kind of misbehaviour of a play.
type Kind string

// The kinds.
const (
	Slow      Kind = "slow"      // many clients write slowly, or stop half way
	Flood     Kind = "flood"     // a few clients send as fast as they can
	Departure Kind = "departure" // a client leaves while its requests run, and they come again
)

// Kinds are all kinds.
var Kinds = []Kind{Slow, Flood, Departure}

// Play is what is drawn of one play.
type Play struct {
	Kind      Kind
	Seed      uint64
	Behaviour string // of the misbehaving clients; empty for a Departure
	Clients   int    // that misbehave
	MemoryMB  int    // limit of the scheduler
	Sockets   int    // limit of each of its processes
	BodySize  int    // bytes, of the requests of usual clients and of departed ones
	Replaced  bool   // the process is replaced in the middle of the play

	// Of a Departure.
	Requests    int           // that the client has sent at once
	CloseAfter  time.Duration // from its first byte
	Reset       bool          // it resets the connection, in place of closing it
	RepeatAfter time.Duration // from the close
}

// seedStream is the second seed of the random numbers of a draw.
const seedStream = 0x62616463

// Draw draws a play of a kind.
func Draw(kind Kind, seed uint64) Play {
	random := rand.New(rand.NewPCG(seed, seedStream))
	play := Play{
		Kind:     kind,
		Seed:     seed,
		Clients:  1,
		MemoryMB: pick(random, 32, 64, 192),
		Sockets:  1024,
		BodySize: pick(random, 500, 30_000),
		Replaced: random.IntN(2) == 0,
	}
	switch kind {
	case Slow:
		play.Behaviour = pick(random, slowBehaviours...)
		play.Clients = pick(random, 50, 150, 300)
		play.Sockets = pick(random, 512, 1024)
	case Flood:
		play.Behaviour = pick(random, floodBehaviours...)
		play.Clients = pick(random, 1, 2, 4)
	case Departure:
		play.BodySize = pick(random, 100, 20_000)
		play.Requests = pick(random, 16, 60, 300)
		play.CloseAfter = pick[time.Duration](random, 2, 20, 130, 600) * time.Millisecond
		play.Reset = random.IntN(2) == 0
		play.RepeatAfter = pick[time.Duration](random, 5, 250, 1000) * time.Millisecond
	}
	return play
}

// pick returns one of the values.
func pick[T any](random *rand.Rand, values ...T) T { return values[random.IntN(len(values))] }

// String describes the play in one line.
func (p Play) String() string {
	text := fmt.Sprintf("%s %d: %d MB, %d sockets, bodies of %d bytes", p.Kind, p.Seed, p.MemoryMB, p.Sockets, p.BodySize)
	if p.Kind == Departure {
		text += fmt.Sprintf(", %d requests, closed after %v (reset %v), again after %v", p.Requests, p.CloseAfter, p.Reset, p.RepeatAfter)
	} else {
		text += fmt.Sprintf(", %d clients %s", p.Clients, p.Behaviour)
	}
	if p.Replaced {
		text += ", replaced"
	}
	return text
}

// Command returns the command that runs the play again.
func (p Play) Command() string {
	return fmt.Sprintf("go run ./cmd/valvecove-testbed badclients --kind %s --seed %d --runs 1", p.Kind, p.Seed)
}
