package message

// Epoch is the number of a session. A greater epoch of the same forwarder is a newer session.
type Epoch uint64

// Message is one message of the protocol: a pointer to one of the types of this package. A message must not be changed
// once it is sent, as several receivers may share it.
type Message interface {
	// Kind identifies the message's type.
	Kind() Kind
	// Clone returns a copy that shares no memory with the message. A message that a codec.Reader returned is
	// valid only until the reader's next call: keep a clone.
	Clone() Message
}

// Command is a message by which a planner commands an action of a forwarder. The forwarder's validator checks each of them.
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

// shallowClone copies a message without its slices, which the copy shares.
func shallowClone[T any](original *T) *T {
	clone := *original
	return &clone
}
