package main

import (
	"fmt"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/gossip"
	"valvecove/internal/simwire"
)

// incarnationUnit is the unit of the simulator's clock that incarnations count: no instance starts anew within it.
const incarnationUnit = time.Millisecond

// adapter holds the instances by their numbers.
type adapter struct {
	instances map[int]*instance
	active    []int // numbers with an event in the batch, in the order of the first event; reused
}

// instance is a dispatch policy, and its events of the batch.
type instance struct {
	dispatcher *dispatch.Dispatcher // nil: stopped, or not started yet
	events     []dispatch.Event
	node       *gossip.Node // its exchanges with other instances
}

func newAdapter() *adapter { return &adapter{instances: map[int]*instance{}} }

// process lets each instance with an event in a batch act, and writes its actions. An instance that is stopped or started
// in the batch loses the events that stand before that.
func (a *adapter) process(batch simwire.Batch, writer *simwire.Writer) {
	a.active = a.active[:0]
	for _, input := range batch.Inputs {
		a.accept(batch.Now, input)
	}
	for _, number := range a.active {
		a.instance(number).step(number, batch.Now, writer)
	}
}

// instance returns the instance of a number, which is made where there was none.
func (a *adapter) instance(number int) *instance {
	known := a.instances[number]
	if known == nil {
		known = &instance{}
		a.instances[number] = known
	}
	return known
}

// accept handles one input.
func (a *adapter) accept(now time.Duration, input simwire.Input) {
	target := a.instance(input.Instance)
	switch message := input.Message.(type) {
	case simwire.Start:
		target.dispatcher = dispatch.New(message.Settings, message.Seed)
		target.events = target.events[:0]
		target.node = gossip.New(gossip.Config{
			Self:        message.Settings.ReplicaIndex,
			Peers:       message.Settings.Replicas,
			Incarnation: uint32(now / incarnationUnit),
		})
	case simwire.Stop:
		target.dispatcher = nil
		target.events = target.events[:0]
	case simwire.Event:
		a.addEvent(input.Instance, message.Event)
	case simwire.PeerDatagram:
		if target.dispatcher == nil {
			return
		}
		messages, _ := target.node.Receive(now, message.From, message.Payload) // one that is faulty is dropped
		for _, received := range messages {
			a.addEvent(input.Instance, dispatch.PeerMessageReceived{From: message.From, Message: received})
		}
	}
}

// addEvent has an instance act on an event at the end of the batch, if it runs.
func (a *adapter) addEvent(number int, event dispatch.Event) {
	target := a.instance(number)
	if target.dispatcher == nil {
		return
	}
	if len(target.events) == 0 {
		a.active = append(a.active, number)
	}
	target.events = append(target.events, event)
}

// step lets an instance act on its events. It does nothing if there are none: the instance was stopped, or has acted
// already where it stands twice among the active ones. A panic is reported in the reply and goes no further.
func (i *instance) step(number int, now time.Duration, writer *simwire.Writer) {
	if len(i.events) == 0 || i.dispatcher == nil {
		return
	}
	defer func() {
		if cause := recover(); cause != nil {
			writer.Fault(number, fmt.Sprint(cause))
		}
		clear(i.events)
		i.events = i.events[:0]
	}()
	actions := i.dispatcher.Step(now, i.events, nil)
	writer.Actions(number, actions)
	for _, action := range actions {
		if toPeer, ok := action.(dispatch.SendPeerMessage); ok {
			i.node.Queue(toPeer.To, toPeer.Message)
		}
	}
	for _, datagram := range i.node.Flush() {
		writer.PeerDatagram(number, datagram.To, datagram.Bytes)
	}
}
