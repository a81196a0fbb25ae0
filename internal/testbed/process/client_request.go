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

// appendRequest writes a request as the protocol shows it.
func (d *driver) appendRequest(b []byte, to netip.AddrPort, clientRequest *simapi.ClientRequest) []byte {
	class, tenant := d.spec.Classes[clientRequest.Class].Name, ""
	if clientRequest.Tenant < len(d.spec.Tenants) {
		tenant = d.spec.Tenants[clientRequest.Tenant].Name
	}
	b = append(append(b, "POST /"...), class...)
	b = append(append(b, '/'), requestSubject(clientRequest)...)
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

// requestSubject is the last part of a request's path: what it is about, or else its id.
func requestSubject(a *simapi.ClientRequest) string {
	if a.IdempotencyKey != "" {
		return a.IdempotencyKey
	}
	return a.RequestID
}

// appendBody writes a request's body, which follows from its id and length.
func appendBody(b []byte, call string, n int) []byte {
	for end := len(b) + n; len(b) < end; {
		b = append(b, call[:min(len(call), end-len(b))]...)
		if len(b) < end {
			b = append(b, '\n')
		}
	}
	return b
}

// formTable remembers in what form requests were sent, so that a worker can tell one that no client sent like that.
// What is older than keepForms may be forgotten: no request is out for that long.
type formTable struct {
	current, before map[string]*simapi.ClientRequest
	since           time.Duration
}

const formRetention = time.Minute

func (f *formTable) add(a *simapi.ClientRequest, now time.Duration) {
	if f.current == nil || now-f.since > formRetention {
		f.before, f.current, f.since = f.current, map[string]*simapi.ClientRequest{}, now
	}
	f.current[a.RequestID] = a
}

func (f *formTable) find(call string) *simapi.ClientRequest {
	if a := f.current[call]; a != nil {
		return a
	}
	return f.before[call]
}

// describeAlteration names what a worker was sent otherwise than a client sent it; empty: nothing.
func (d *driver) describeAlteration(a *simapi.ClientRequest, q *http.Request, key string, body []byte) string {
	path, ok := strings.CutPrefix(q.RequestURI, "/"+d.spec.Classes[a.Class].Name+"/")
	switch {
	case q.Method != http.MethodPost:
		return "method"
	case !ok || path != requestSubject(a):
		return "path"
	case key != a.IdempotencyKey:
		return "Idempotency-Key"
	case !bytes.Equal(body, appendBody(nil, a.RequestID, a.BodyLength)):
		return "body"
	}
	return ""
}
