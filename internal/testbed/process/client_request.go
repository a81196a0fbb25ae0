package process

import (
	"bytes"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"valvecove/internal/http1"
	"valvecove/internal/testbed/simapi"
)

// appendRequest appends a client's request in the form of the protocol.
func (d *driver) appendRequest(b []byte, to netip.AddrPort, clientRequest *simapi.ClientRequest) []byte {
	class, tenant := d.spec.Classes[clientRequest.Class].Name, ""
	if clientRequest.Tenant < len(d.spec.Tenants) {
		tenant = d.spec.Tenants[clientRequest.Tenant].Name
	}
	b = append(append(b, "POST /"...), class...)
	b = append(append(b, '/'), requestPathID(clientRequest)...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = http1.AppendField(b, "Host", to.String())
	b = http1.AppendField(b, "X-Call-Id", clientRequest.RequestID)
	b = http1.AppendField(b, "X-Call-Class", class)
	b = http1.AppendField(b, "X-Caller", tenant)
	b = append(b, "X-Budget-Ms: "...)
	b = strconv.AppendInt(b, clientRequest.Budget.Milliseconds(), 10)
	b = append(b, "\r\n"...)
	b = http1.AppendField(b, "Idempotency-Key", clientRequest.IdempotencyKey)
	if clientRequest.Retry {
		b = http1.AppendField(b, "X-Again", "1")
	}
	if clientRequest.CostHint > 0 {
		b = append(b, "X-Call-Cost: "...)
		b = strconv.AppendInt(b, max(1, clientRequest.CostHint.Microseconds()), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "X-Call-Info: slots="...)
	b = strconv.AppendFloat(b, clientRequest.Slots, 'f', -1, 64)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(clientRequest.BodyLength), 10)
	b = append(b, "\r\n\r\n"...)
	return appendBody(b, clientRequest.RequestID, clientRequest.BodyLength)
}

// requestPathID returns the last part of a request's path: its idempotency key, or its id if it has none.
func requestPathID(a *simapi.ClientRequest) string {
	if a.IdempotencyKey != "" {
		return a.IdempotencyKey
	}
	return a.RequestID
}

// appendBody appends a request's body: its id, repeated in lines up to the length. So a worker can check the body from
// the id and the length alone.
func appendBody(b []byte, call string, n int) []byte {
	for end := len(b) + n; len(b) < end; {
		b = append(b, call[:min(len(call), end-len(b))]...)
		if len(b) < end {
			b = append(b, '\n')
		}
	}
	return b
}

// formTable records the requests that clients have sent, by id, so that a worker can detect a request that was altered on
// the way. It has two generations: each entry is kept for at least formRetention.
type formTable struct {
	current, previous map[string]*simapi.ClientRequest
	since             time.Duration // when the current generation began
}

const formRetention = time.Minute // no request is in flight for longer

func (f *formTable) add(a *simapi.ClientRequest, now time.Duration) {
	if f.current == nil || now-f.since > formRetention {
		f.previous, f.current, f.since = f.current, map[string]*simapi.ClientRequest{}, now
	}
	f.current[a.RequestID] = a
}

func (f *formTable) find(call string) *simapi.ClientRequest {
	if a := f.current[call]; a != nil {
		return a
	}
	return f.previous[call]
}

// describeAlteration names the part of a request that differs at the worker from what the client has sent; empty if none
// does.
func (d *driver) describeAlteration(a *simapi.ClientRequest, q *http.Request, key string, body []byte) string {
	path, ok := strings.CutPrefix(q.RequestURI, "/"+d.spec.Classes[a.Class].Name+"/")
	switch {
	case q.Method != http.MethodPost:
		return "method"
	case !ok || path != requestPathID(a):
		return "path"
	case key != a.IdempotencyKey:
		return "Idempotency-Key"
	case !bytes.Equal(body, appendBody(nil, a.RequestID, a.BodyLength)):
		return "body"
	}
	return ""
}
