package client

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
	maxCallIDSize         = 128 // bytes
	maxIdempotencyKeySize = 256 // bytes
	maxRequestNumber      = 1e9 // of costs, slots and memory that a request names; a larger one makes no sense
)

// uniqueFields are the fields that are read of a request. Where one comes twice, what is checked here and what a worker goes
// by could be two things.
var uniqueFields = []string{
	"X-Call-Id", "X-Call-Class", "X-Caller", "X-Budget-Ms", "Idempotency-Key", "X-Call-Cost",
	"X-Call-Info", "X-Again", "Host",
}

// findClass returns the class of a request, which its path and a field name.
func (l *Listener) findClass(request *http1.Request, pathClass []byte) (int, *rejection) {
	name := request.Get("X-Call-Class")
	class, known := l.classes[string(name)]
	_, pathKnown := l.classes[string(pathClass)]
	switch {
	case name == nil && !pathKnown:
		return 0, &rejection{404, "no such path"}
	case string(request.Method) != "POST":
		return 0, &rejection{405, "POST only"}
	case !known:
		return 0, &rejection{400, "X-Call-Class: not a class"}
	case !bytes.Equal(name, pathClass):
		return 0, &rejection{400, "X-Call-Class: not the class in the path"}
	}
	return class, nil
}

// parseArrival makes an arrival of a request of a class. It has no responder yet. pathRest is what follows the class in the
// path.
func (l *Listener) parseArrival(request *http1.Request, class int, pathRest []byte) (requests.Arrival, *rejection) {
	for _, name := range uniqueFields {
		if request.Count(name) > 1 {
			return requests.Arrival{}, &rejection{400, name + ": given more than once"}
		}
	}
	callID, idempotencyKey := request.Get("X-Call-Id"), request.Get("Idempotency-Key")
	if !http1.IsToken(callID) || len(callID) > maxCallIDSize {
		return requests.Arrival{}, &rejection{400, "X-Call-Id: missing or malformed"}
	}
	if !l.isIdempotencyKeyValid(idempotencyKey, class) {
		return requests.Arrival{}, &rejection{400, "Idempotency-Key: missing or malformed"}
	}
	job, rejected := l.parseJob(request, class)
	if rejected != nil {
		return requests.Arrival{}, rejected
	}
	job.Key = jobKey(pathRest)
	return requests.Arrival{
		CallID: string(callID),
		Job:    job,
		Payload: requests.Payload{
			Method:         string(request.Method),
			Path:           string(request.Target),
			IdempotencyKey: string(idempotencyKey),
			Body:           bytes.Clone(request.Body),
		},
	}, nil
}

// isIdempotencyKeyValid accepts no key only where the class needs none: without one, repeats would not be dropped.
func (l *Listener) isIdempotencyKeyValid(key []byte, class int) bool {
	if key == nil {
		return l.settings.Classes[class].Idempotency != dispatch.IdempotentWithKey
	}
	return len(key) <= maxIdempotencyKeySize && http1.IsVisible(key)
}

// parseJob reads what the dispatcher goes by.
func (l *Listener) parseJob(request *http1.Request, class int) (dispatch.Job, *rejection) {
	tenant, known := l.tenants[string(request.Get("X-Caller"))]
	if !known && len(l.tenants) > 0 {
		return dispatch.Job{}, &rejection{400, "X-Caller: not a tenant"}
	}
	remaining := l.settings.Classes[class].ClientTimeout
	if budget := request.Get("X-Budget-Ms"); budget != nil {
		millis, ok := http1.ParseDecimal(budget)
		if !ok {
			return dispatch.Job{}, &rejection{400, "X-Budget-Ms: expected whole milliseconds"}
		}
		remaining = time.Duration(millis) * time.Millisecond
	}
	job := dispatch.Job{
		Class:     class,
		Tenant:    tenant,
		Remaining: remaining,
		Slots:     1,
		Hint:      time.Duration(parsePositive(request.Get("X-Call-Cost")) * float64(time.Microsecond)),
		Retry:     string(request.Get("X-Again")) == "1",
	}
	parseDemand(&job, request.Get("X-Call-Info"))
	return job, nil
}

// parseDemand reads the slots and the memory that a job takes up, of pairs of names and values.
func parseDemand(job *dispatch.Job, info []byte) {
	for len(info) > 0 {
		var pair []byte
		pair, info, _ = bytes.Cut(info, []byte(","))
		key, value, _ := bytes.Cut(pair, []byte("="))
		switch string(bytes.TrimSpace(key)) {
		case "slots":
			job.Slots = max(1, parsePositive(value))
		case "mem", "memory":
			job.Memory = parsePositive(value)
		}
	}
}

// jobKey returns the hash of the last part of a path, by which jobs with the same data are known; 0: it has none.
func jobKey(pathRest []byte) uint64 {
	if len(pathRest) == 0 {
		return 0
	}
	hash := fnv.New64a()
	hash.Write(pathRest[bytes.LastIndexByte(pathRest, '/')+1:])
	return hash.Sum64() | 1
}

// parsePositive reads a number of a request; one that makes no sense is as good as absent, and 0.
func parsePositive(text []byte) float64 {
	number, err := strconv.ParseFloat(string(bytes.TrimSpace(text)), 64)
	if err != nil || !(number > 0 && number < maxRequestNumber) {
		return 0
	}
	return number
}
