package process

import (
	"fmt"
	"strconv"
	"strings"

	"valvecove/internal/http1"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// misbehavingRequest is a request of a misbehaving client. It is valid until the client corrupts parts of it.
type misbehavingRequest struct {
	endpoint                             string // address of the scheduler
	class, path, id, caller, budget, key string
	length                               string // Content-Length; empty: none
	extraFields                          string // further header fields, with their line breaks
	body                                 string
}

// newRequest makes a valid request. n is its number among the requests of the client.
func (m *misbehavingClient) newRequest(n int) misbehavingRequest {
	spec := m.driver.spec
	class := &spec.Classes[m.rng.IntN(len(spec.Classes))]
	name := misbehavingPrefix + strconv.FormatUint(uint64(m.id), 36) + "-" + strconv.Itoa(n)
	request := misbehavingRequest{
		endpoint: m.driver.addresses.scheduler(m.scheduler).String(),
		class:    class.Name, path: "/" + class.Name + "/" + name, id: name,
		budget: strconv.FormatInt(class.Deadline.Std().Milliseconds(), 10), body: strings.Repeat("x", 1+m.rng.IntN(200)),
	}
	if len(spec.Tenants) > 0 {
		request.caller = spec.Tenants[m.rng.IntN(len(spec.Tenants))].Name
	}
	if class.Idempotency == "keyed" {
		request.key = name
	}
	request.length = strconv.Itoa(len(request.body))
	return request
}

// setClass sets the class in its field and in the path, and rebuilds the path with the id.
func (q *misbehavingRequest) setClass(name string) {
	q.class, q.path = name, "/"+name+"/"+q.id
}

// bytes encodes the request.
func (q *misbehavingRequest) bytes() []byte {
	b := http1.AppendRequestStart(nil, "POST", q.path, q.endpoint)
	for _, f := range [][2]string{
		{"X-Call-Id", q.id},
		{"X-Call-Class", q.class},
		{"X-Caller", q.caller},
		{"X-Budget-Ms", q.budget},
		{"Idempotency-Key", q.key},
		{"Content-Length", q.length},
	} {
		b = http1.AppendField(b, f[0], f[1])
	}
	b = append(b, q.extraFields...)
	b = append(b, "\r\n"...)
	return append(b, q.body...)
}

// misbehaviors has the action of each kind of misbehaving client. An action gets a valid request, which it may corrupt.
// The scheduler has to respond to each kind or to close the connection, unless the client itself closes it.
var misbehaviors = map[string]func(o *misbehavingClient, request misbehavingRequest, spec *simapi.ClientMisbehaves){
	"garbage":         (*misbehavingClient).sendGarbage,
	"endless_head":    (*misbehavingClient).sendEndlessHeader,
	"wrong_length":    (*misbehavingClient).sendWrongLength,
	"negative_length": (*misbehavingClient).sendNegativeLength,
	"huge_length":     (*misbehavingClient).sendHugeLength,
	"huge_body":       (*misbehavingClient).sendHugeBody,
	"unknown_class":   (*misbehavingClient).sendUnknownClass,
	"bad_deadline":    (*misbehavingClient).sendBadDeadline,
	"no_id":           (*misbehavingClient).sendNoID,
	"stolen_id":       (*misbehavingClient).sendStolenID,
	"half_then_close": (*misbehavingClient).sendHalfThenClose,
	"flood":           (*misbehavingClient).sendFlood,
	"insist":          (*misbehavingClient).sendRepeatedly,
	"silent":          (*misbehavingClient).sendNothing,
	"smuggle":         (*misbehavingClient).sendSmuggled,
	"slow_head":       (*misbehavingClient).sendHeaderSlowly,
	"slow_reader":     (*misbehavingClient).readSlowly,
}

// start performs the action of the client's kind.
func (m *misbehavingClient) start(spec *simapi.ClientMisbehaves) {
	misbehave := misbehaviors[spec.Kind]
	if misbehave == nil {
		m.driver.fail(fmt.Errorf("unknown kind of misbehaving client %q: expected one of %s", spec.Kind,
			strings.Join(scenario.MisbehaviorKinds, ", ")))
		return
	}
	misbehave(m, m.newRequest(0), spec)
}

func (m *misbehavingClient) sendGarbage(_ misbehavingRequest, _ *simapi.ClientMisbehaves) {
	b := make([]byte, 1+m.rng.IntN(8<<10))
	for i := range b {
		b[i] = byte(m.rng.Uint32())
	}
	m.connect(append(b, "\r\n\r\n"...))
}

func (m *misbehavingClient) sendEndlessHeader(request misbehavingRequest, _ *simapi.ClientMisbehaves) {
	line := []byte(strings.Repeat("X-More: "+strings.Repeat("m", 100)+"\r\n", 40))
	m.connect(http1.AppendRequestStart(nil, "POST", request.path, request.endpoint)).feed = func() []byte { return line }
}

// sendWrongLength sends a Content-Length that is too large, so that the request is never complete, or too small, so that
// the rest of the body is read as a malformed request.
func (m *misbehavingClient) sendWrongLength(request misbehavingRequest, spec *simapi.ClientMisbehaves) {
	off := 1 + m.rng.IntN(len(request.body))
	if spec.Number%2 == 0 {
		off = -off
	}
	request.length = strconv.Itoa(len(request.body) + off)
	m.connect(request.bytes())
}

func (m *misbehavingClient) sendNegativeLength(request misbehavingRequest, _ *simapi.ClientMisbehaves) {
	request.length = strconv.Itoa(-1 - m.rng.IntN(1000))
	m.connect(request.bytes())
}

func (m *misbehavingClient) sendHugeLength(request misbehavingRequest, _ *simapi.ClientMisbehaves) {
	request.length = "9" + strings.Repeat("0", 8+m.rng.IntN(20))
	m.connect(request.bytes())
}

func (m *misbehavingClient) sendHugeBody(request misbehavingRequest, _ *simapi.ClientMisbehaves) {
	request.length, request.body = strconv.Itoa(hugeBody), ""
	part, remaining := make([]byte, 64<<10), hugeBody
	m.connect(request.bytes()).feed = func() []byte {
		n := min(remaining, len(part))
		remaining -= n
		if n == 0 {
			return nil
		}
		return part[:n]
	}
}

func (m *misbehavingClient) sendUnknownClass(request misbehavingRequest, _ *simapi.ClientMisbehaves) {
	request.setClass(unknownClass)
	m.connect(request.bytes())
}

func (m *misbehavingClient) sendBadDeadline(request misbehavingRequest, _ *simapi.ClientMisbehaves) {
	request.budget = []string{"soon", "-1", "1e3", "12ms", "99999999999999999999", "0x10"}[m.rng.IntN(6)]
	m.connect(request.bytes())
}

func (m *misbehavingClient) sendNoID(request misbehavingRequest, _ *simapi.ClientMisbehaves) {
	request.id = ""
	m.connect(request.bytes())
}

// sendStolenID sends a request with the id of another client's request.
func (m *misbehavingClient) sendStolenID(request misbehavingRequest, spec *simapi.ClientMisbehaves) {
	if spec.RequestID != "" {
		request.id = spec.RequestID
	}
	m.connect(request.bytes())
}

func (m *misbehavingClient) sendHalfThenClose(request misbehavingRequest, _ *simapi.ClientMisbehaves) {
	b := request.bytes()
	m.connect(b[:1+m.rng.IntN(len(b)-1)]).closeWhenFlushed = true
}

// sendFlood sends hundreds of requests at once.
func (m *misbehavingClient) sendFlood(_ misbehavingRequest, _ *simapi.ClientMisbehaves) {
	var b []byte
	for i := range 200 + m.rng.IntN(300) {
		request := m.newRequest(i)
		b = append(b, request.bytes()...)
	}
	m.connect(b)
}

// sendRepeatedly repeats a request until it is served, at most maxRepeats times and for maxRepeatTime.
func (m *misbehavingClient) sendRepeatedly(request misbehavingRequest, _ *simapi.ClientMisbehaves) {
	m.repeatedRequest = request.bytes()
	m.connect(m.repeatedRequest)
}

func (m *misbehavingClient) sendNothing(_ misbehavingRequest, _ *simapi.ClientMisbehaves) {
	m.connect(nil)
}

// sendSmuggled hides a request in the body of another that has both Transfer-Encoding and Content-Length: by the chunks the
// body ends before the hidden request, by the length after it.
func (m *misbehavingClient) sendSmuggled(request misbehavingRequest, _ *simapi.ClientMisbehaves) {
	hidden := m.newRequest(1)
	hidden.id = hiddenPrefix + hidden.id
	hidden.setClass(hidden.class)
	request.extraFields = "Transfer-Encoding: chunked\r\n"
	request.body = "0\r\n\r\n" + string(hidden.bytes())
	request.length = strconv.Itoa(len(request.body))
	m.connect(request.bytes())
}

// sendHeaderSlowly sends a request byte by byte, one in each slowByteInterval.
func (m *misbehavingClient) sendHeaderSlowly(request misbehavingRequest, _ *simapi.ClientMisbehaves) {
	b := request.bytes()
	conn, sent := m.connect(b[:1]), 1
	conn.repeatSlowly(func() {
		if sent < len(b) {
			conn.write(b[sent : sent+1])
			sent++
		}
	})
}

// readSlowly sends a megabyte of requests and reads the responses a few bytes at a time.
func (m *misbehavingClient) readSlowly(request misbehavingRequest, _ *simapi.ClientMisbehaves) {
	request.setClass(unknownClass)
	var b []byte
	for one := request.bytes(); len(b) < 1<<20; {
		b = append(b, one...)
	}
	conn := m.connect(b)
	conn.setReading(false)
	conn.repeatSlowly(func() {
		if conn.connected {
			conn.read(slowReadBytes)
		}
	})
}
