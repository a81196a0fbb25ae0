package link

import (
	"bytes"
	"hash/fnv"
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

const (
	maxCallIDSize         = 128
	maxIdempotencyKeySize = 256
)

// uniqueFields are the fields that count in a request. Where one comes twice, what we check and what a worker node goes
// by could be two things.
var uniqueFields = []string{
	"X-Call-Id", "X-Call-Class", "X-Caller", "X-Budget-Ms", "Idempotency-Key", "X-Call-Cost",
	"X-Call-Info", "X-Again", "Host",
}

// parseArrival makes a query of a request. fault names what is wrong with it.
func (c *clientListener) parseArrival(m *http1.Request, class int, rest []byte) (in requests.Arrival, fault string) {
	for _, name := range uniqueFields {
		if m.Count(name) > 1 {
			return in, name + ": given more than once"
		}
	}
	id, idem := m.Get("X-Call-Id"), m.Get("Idempotency-Key")
	if !http1.IsToken(id) || len(id) > maxCallIDSize {
		return in, "X-Call-Id: missing or malformed"
	}
	if len(idem) > maxIdempotencyKeySize || !http1.IsVisible(idem) || idem == nil && c.settings.Classes[class].Idempotency == dispatch.IdempotentWithKey {
		return in, "Idempotency-Key: missing or malformed" // without one, repeats would not be dropped
	}
	tenant, known := c.tenants[string(m.Get("X-Caller"))]
	if !known && len(c.tenants) > 0 {
		return in, "X-Caller: not a tenant"
	}
	left := c.settings.Classes[class].ClientTimeout
	if text := m.Get("X-Budget-Ms"); text != nil {
		n, ok := http1.ParseDecimal(text)
		if !ok {
			return in, "X-Budget-Ms: expected whole milliseconds"
		}
		left = time.Duration(n) * time.Millisecond
	}
	in = requests.Arrival{
		CallID: string(id), Job: dispatch.Job{
			Class: class, Tenant: tenant, Remaining: left, Slots: 1,
			Hint: time.Duration(parsePositive(m.Get("X-Call-Cost")) * float64(time.Microsecond)), Retry: string(m.Get("X-Again")) == "1",
		},
		Payload: requests.Payload{
			Method: string(m.Method), Path: string(m.Target), IdempotencyKey: string(idem),
			Body: bytes.Clone(m.Body),
		},
	}
	if at := bytes.LastIndexByte(rest, '/'); len(rest) > 0 {
		h := fnv.New64a()
		h.Write(rest[at+1:])
		in.Job.Key = h.Sum64() | 1 // 0 stands for none
	}
	for info := m.Get("X-Call-Info"); len(info) > 0; {
		var pair []byte
		pair, info, _ = bytes.Cut(info, []byte(","))
		key, value, _ := bytes.Cut(pair, []byte("="))
		switch string(bytes.TrimSpace(key)) {
		case "slots":
			in.Job.Slots = max(1, parsePositive(value))
		case "mem", "memory":
			in.Job.Memory = parsePositive(value)
		}
	}
	return in, ""
}

// parsePositive reads a number of a request; one that makes no sense is as good as absent.
func parsePositive(text []byte) float64 {
	x, err := strconv.ParseFloat(string(bytes.TrimSpace(text)), 64)
	if err != nil || !(x > 0 && x < 1e9) {
		return 0
	}
	return x
}
