package message

// Epoch is the number of a session. Of two sessions of a forwarder, the one with the greater epoch is newer.
type Epoch uint64

// Message is a message of the protocol: a pointer to one of the message types of this package. A message must not be changed
// once it is sent, as several receivers may share it.
type Message interface {
	// Kind identifies the message's type.
	Kind() Kind
	// Clone returns a copy that shares no memory with the message. A message from a codec.Reader is valid only until the next
	// call of the reader; clone it to keep it longer.
	Clone() Message
}

// Command is a message that instructs a forwarder to do something. The forwarder's validator checks each command.
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

// shallowClone copies a message. The copy shares the slices of the original.
func shallowClone[T any](original *T) *T {
	clone := *original
	return &clone
}
