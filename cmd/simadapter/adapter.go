package main

import (
	"fmt"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/gossip"
	"valvecove/internal/simwire"
)

// incarnationUnit is the unit in which the simulator's time is used as an incarnation. No instance restarts within one unit.
const incarnationUnit = time.Millisecond

// adapter contains the instances by number.
type adapter struct {
	instances map[int]*instance
	active    []int // numbers of instances with an event in the batch, in order of the first event; reused
}

// instance is a dispatch policy with its events in the current batch.
type instance struct {
	dispatcher *dispatch.Dispatcher // nil: stopped, or not started yet
	events     []dispatch.Event
	node       *gossip.Node // encodes and decodes messages to and from other instances
}

func newAdapter() *adapter { return &adapter{instances: map[int]*instance{}} }

// process steps each instance that has an event in the batch, and writes its actions. An instance that is stopped or started in
// the batch loses the events before that.
func (a *adapter) process(batch simwire.Batch, writer *simwire.Writer) {
	a.active = a.active[:0]
	for _, input := range batch.Inputs {
		a.handleInput(batch.Now, input)
	}
	for _, number := range a.active {
		a.instance(number).step(number, batch.Now, writer)
	}
}

// instance returns the instance with a number, and creates it if there is none.
func (a *adapter) instance(number int) *instance {
	known := a.instances[number]
	if known == nil {
		known = &instance{}
		a.instances[number] = known
	}
	return known
}

// handleInput handles one input of a batch.
func (a *adapter) handleInput(now time.Duration, input simwire.Input) {
	target := a.instance(input.Instance)
	switch message := input.Message.(type) {
	case simwire.Start:
		target.dispatcher = dispatch.New(message.Settings, message.Seed)
		target.events = target.events[:0]
		target.node = gossip.New(gossip.Config{
			Self:        message.Settings.ReplicaIndex,
			Schedulers:  message.Settings.Replicas,
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
		messages, _ := target.node.Receive(now, message.From, message.Payload) // an invalid datagram is ignored
		for _, received := range messages {
			a.addEvent(input.Instance, dispatch.PeerMessageReceived{From: message.From, Message: received})
		}
	}
}

// addEvent adds an event to the next step of an instance, if that is started.
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

// step steps the policy with its events, and writes the actions and datagrams. It does nothing if there are no events: the
// instance was stopped, or it was stepped already, as adapter.active contains its number twice if it was stopped or started
// between two events of the batch. A panic of the policy is reported in the reply.
func (i *instance) step(number int, now time.Duration, writer *simwire.Writer) {
	if len(i.events) == 0 || i.dispatcher == nil {
		return
	}
	defer func() {
		if cause := recover(); cause != nil {
			writer.InternalError(number, fmt.Sprint(cause))
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
