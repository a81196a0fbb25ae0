package client

import (
	"testing"

	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
	"valvecove/internal/storedform"
)

// Every field of a client connection has a stated fate at a hot restart. A field that was left out without one had a payout run with
// parts of others.
func TestFieldsHaveFateAtHotRestart(t *testing.T) {
	records := []any{hotrestart.ClientConnection{}, hotrestart.ResponseSlot{}, hotrestart.InputArrival{}}
	storedform.CheckFates(t, records, streamFates(), connectionFates(), slotFates(), arrivalFates(), listenerFates())
}

func streamFates() storedform.FieldFates {
	const retried = "the successor reads and writes at once, and pauses itself if it lacks memory"
	return storedform.FatesOf[eventloop.Stream](map[string]storedform.Fate{
		"loop":              storedform.Derived("the successor's loop"),
		"fd":                storedform.Derived("the descriptor that is passed along with the record"),
		"input":             storedform.Transferred("ClientConnection.Input"),
		"output":            storedform.Transferred("ClientConnection.Output"),
		"events":            storedform.Derived("from the buffers and from HalfClosed"),
		"open":              storedform.Derived("only open connections are transferred"),
		"paused":            storedform.Dropped(retried),
		"resume":            storedform.Dropped(retried),
		"lastPause":         storedform.Dropped(retried),
		"inputPendingSince": storedform.Dropped("of input that is not read yet; while the kernel lacks memory its time counts from the take-over"),
		"inputArrivedAt":    storedform.Derived("from InputArrivals, which has it for all input that is buffered"),
	})
}

func connectionFates() storedform.FieldFates {
	const whileHandling = "set only while a request is handled; no transfer begins then"
	return storedform.FatesOf[connection](map[string]storedform.Fate{
		"Stream":             storedform.Transferred("ClientConnection.Input", "ClientConnection.Output"),
		"listener":           storedform.Derived("the successor's listener"),
		"phase":              storedform.Transferred("ClientConnection.LastRequestRead"),
		"history":            storedform.Transferred("ClientConnection.RequestSeen", "ClientConnection.UsefulRequestSeen"),
		"slots":              storedform.Transferred("ClientConnection.ResponseSlots"),
		"sendsCallbacks":     storedform.Dropped("set by the next callback; if a drain closes the connection before, the worker repeats it on another"),
		"continueSent":       storedform.Transferred("ClientConnection.ContinueSent"),
		"halfClosed":         storedform.Transferred("ClientConnection.HalfClosed"),
		"halfCloseProbed":    storedform.Transferred("ClientConnection.HalfClosed"),
		"probedAt":           storedform.Dropped("the client is probed once more before an attempt"),
		"inputEnded":         storedform.Transferred("ClientConnection.InputConsumed"),
		"panicked":           storedform.Dropped("the successor answers a first panic of its own in the same way"),
		"inputOverrun":       storedform.Transferred("ClientConnection.InputOverrun"),
		"parsed":             storedform.Derived("from the input, which is parsed again"),
		"inputArrivals":      storedform.Transferred("ClientConnection.InputArrivals"),
		"currentRequestSize": storedform.Dropped(whileHandling),
		"currentArrival":     storedform.Dropped(whileHandling),
		"lastActivity":       storedform.Transferred("ClientConnection.LastActivity"),
		"lingerStart":        storedform.Dropped("lingering connections stay with the predecessor"),
		"countedBytes":       storedform.Derived("from the buffers"),
		"heldBytes":          storedform.Derived("from the slots and the output"),
		"memoryElement":      storedform.Derived("the successor handles the input, as far as it has memory"),
		"currentList":        storedform.Derived("from the history of a connection without a request"),
		"listElement":        storedform.Derived("with currentList"),
		"clientAddress":      storedform.Transferred("ClientConnection.ClientAddress"),
		"proxyAddress":       storedform.Transferred("ClientConnection.ProxyAddress"),
		"proxyHeaderDone":    storedform.Transferred("ClientConnection.ProxyHeaderDone"),
	})
}

func slotFates() storedform.FieldFates {
	return storedform.FatesOf[responseSlot](map[string]storedform.Fate{
		"connection": storedform.Derived("the connection whose record has the slot"),
		"request":    storedform.Transferred("ResponseSlot.RequestID"),
		"keepAlive":  storedform.Transferred("ResponseSlot.KeepAlive"),
		"isComplete": storedform.Transferred("ResponseSlot.Complete"),
		"statusCode": storedform.Transferred("ResponseSlot.Status"),
		"body":       storedform.Transferred("ResponseSlot.Body"),
		"retryAfter": storedform.Transferred("ResponseSlot.RetryAfter"),
	})
}

func arrivalFates() storedform.FieldFates {
	return storedform.FatesOf[inputArrival](map[string]storedform.Fate{
		"bytes": storedform.Transferred("InputArrival.Bytes"),
		"at":    storedform.Transferred("InputArrival.At"),
	})
}

func listenerFates() storedform.FieldFates {
	const own = "the successor has its own"
	const byLimits = "from the successor's limits"
	const byConnections = "from the connections"
	return storedform.FatesOf[Listener](map[string]storedform.Fate{
		"loop":             storedform.Derived(own),
		"table":            storedform.Derived(own),
		"accessLists":      storedform.Derived("from the successor's configuration"),
		"log":              storedform.Derived(own),
		"connectionLog":    storedform.Derived(own),
		"acceptor":         storedform.Derived("the listening socket is passed along with Accept, and connections wait in it"),
		"parser":           storedform.Derived("from the successor's settings"),
		"request":          storedform.Dropped("valid only while a request is handled"),
		"writeBuffer":      storedform.Dropped("reused memory"),
		"rejectedArrival":  storedform.Dropped("valid only while a request is rejected"),
		"connections":      storedform.Derived("each connection has a record; lingering ones stay with the predecessor until it ends"),
		"limits":           storedform.Derived("from the successor's configuration"),
		"maxConnections":   storedform.Derived(byLimits),
		"maxEvicted":       storedform.Derived(byLimits),
		"maxRequests":      storedform.Derived(byLimits),
		"maxBufferedBytes": storedform.Derived(byLimits),
		"bufferedBytes":    storedform.Derived(byConnections),
		"heldBytes":        storedform.Derived(byConnections),
		"awaitingMemory":   storedform.Derived("the successor handles the input, as far as it has memory"),
		"isResuming":       storedform.Dropped("of a timer of the predecessor"),
		"useless":          storedform.Derived(byConnections),
		"finished":         storedform.Dropped("lingering connections stay with the predecessor"),
		"silent":           storedform.Derived(byConnections),
		"idle":             storedform.Derived(byConnections),
		"evicted":          storedform.Dropped("lingering connections stay with the predecessor"),
		"draining":         storedform.Dropped("the predecessor drains, and the successor serves"),
		"closing":          storedform.Dropped("the predecessor drains, and the successor serves"),
	})
}
