package message

// Epoch numbers a session. Of two epochs of one forwarder the greater is the newer session.
type Epoch uint64

// Message is one message of the protocol: a pointer to one of the types of this package. A message that is shared, by
// several receivers say, is not to be changed.
type Message interface {
	// Kind identifies the message's type.
	Kind() Kind
	// Clone returns a copy that shares no memory with the message. A message that a codec.Reader returned has to be cloned
	// in order to outlive the reader's next call.
	Clone() Message
}

// Command is a message by which a planner has a forwarder do something. The forwarder's validator checks each of them.
type Command interface {
	Message
	command()
}

// Envelope is a message together with the epoch of the session to which it belongs.
type Envelope struct {
	Epoch   Epoch
	Message Message
}

// Clone returns a copy that shares no memory with the envelope.
func (e Envelope) Clone() Envelope {
	if e.Message != nil {
		e.Message = e.Message.Clone()
	}
	return e
}

// shallowClone copies a message that has no slices.
func shallowClone[T any](m *T) *T {
	clone := *m
	return &clone
}
