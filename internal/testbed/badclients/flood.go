package badclients

import (
	"fmt"
	"io"
	"net"
	"strings"
)

// Behaviours of clients that send as fast as they can.
const (
	floodRequests     = "send requests"
	floodNames        = "send requests with ever new names"
	floodUnknownClass = "send requests of unknown classes"
	floodFields       = "send requests with very many fields"
	floodCallbacks    = "send callbacks of unknown workers"
	floodBadCallbacks = "send callbacks that are not valid"
	floodUnread       = "send readiness checks and read nothing"
	floodManagement   = "call the management address"
)

var floodBehaviours = []string{
	floodRequests, floodNames, floodUnknownClass, floodFields, floodCallbacks, floodBadCallbacks, floodUnread, floodManagement,
}

const (
	floodBatch     = 100 // requests of one write
	floodFieldSize = 1_000
)

// floodText returns the n-th request of a behaviour.
func floodText(behaviour, client string, n int) string {
	id := fmt.Sprintf("%s-%d", client, n)
	switch behaviour {
	case floodNames:
		return requestText(misbehavingClass, id, badBudget, "Idempotency-Key: key-"+id+"\r\nX-Caller: caller-"+id+"\r\n", "")
	case floodUnknownClass:
		return requestText("class-"+id, id, badBudget, "", "")
	case floodFields:
		return requestText(misbehavingClass, id, badBudget, strings.Repeat("a:\r\n", floodFieldSize), "")
	case floodCallbacks:
		return callbackText(fmt.Sprintf(`{"id":"%s","from":"s-%s","state":"done","result":"r"}`, id, id))
	case floodBadCallbacks:
		return callbackText(`{"id":"` + strings.Repeat("[", 300) + `","from":"s","state":"gone"}`)
	case floodUnread:
		return "GET /up HTTP/1.1\r\nHost: h\r\n\r\n"
	case floodManagement:
		return "PUT /v1/worker-nodes/worker-" + id + "/suspend HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	default: // floodRequests
		return requestText(misbehavingClass, id, badBudget, "", "")
	}
}

func callbackText(body string) string {
	return fmt.Sprintf("POST /v1/job-events HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// writeFlood writes requests until the connection ends or stop is closed, and returns how many.
func writeFlood(behaviour, client string, connection net.Conn, stop <-chan struct{}) (count int) {
	for {
		select {
		case <-stop:
			return count
		default:
		}
		var batch strings.Builder
		for range floodBatch {
			batch.WriteString(floodText(behaviour, client, count))
			count++
		}
		if _, err := io.WriteString(connection, batch.String()); err != nil {
			return count
		}
	}
}
