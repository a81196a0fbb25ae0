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
	maxRequestNumber      = 1e9 // limit of the cost, the slots and the memory that a request states
)

// uniqueFields may occur once in a request. If one occurred twice, this parser and the worker might use different values.
var uniqueFields = []string{
	"X-Call-Id", "X-Call-Class", "X-Caller", "X-Budget-Ms", "Idempotency-Key", "X-Call-Cost",
	"X-Call-Info", "X-Again", "Host",
}

// rejection is the response to a request that is not admitted.
type rejection struct {
	statusCode int
	reason     string
}

// requestParser converts HTTP requests to arrivals.
type requestParser struct {
	settings *dispatch.Settings
	classes  map[string]int // indexes by name
	tenants  map[string]int
}

func newRequestParser(settings *dispatch.Settings, names requests.NameTable) requestParser {
	return requestParser{settings: settings, classes: indexByName(names.Classes), tenants: indexByName(names.Tenants)}
}

func indexByName(names []string) map[string]int {
	indexes := map[string]int{}
	for i, name := range names {
		indexes[name] = i
	}
	return indexes
}

// findClass returns the class of a request, which its path and its X-Call-Class field must both name.
func (p *requestParser) findClass(request *http1.Request, pathClass []byte) (int, *rejection) {
	name := request.Get("X-Call-Class")
	class, known := p.classes[string(name)]
	_, pathKnown := p.classes[string(pathClass)]
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

// parseArrival returns the arrival of a request of a class, without a responder. pathRest is what follows the class in the
// path.
func (p *requestParser) parseArrival(request *http1.Request, class int, pathRest []byte) (requests.Arrival, *rejection) {
	for _, name := range uniqueFields {
		if request.Count(name) > 1 {
			return requests.Arrival{}, &rejection{400, name + ": given more than once"}
		}
	}
	callID, idempotencyKey := request.Get("X-Call-Id"), request.Get("Idempotency-Key")
	if !http1.IsToken(callID) || len(callID) > maxCallIDSize {
		return requests.Arrival{}, &rejection{400, "X-Call-Id: missing or malformed"}
	}
	if !p.isIdempotencyKeyValid(idempotencyKey, class) {
		return requests.Arrival{}, &rejection{400, "Idempotency-Key: missing or malformed"}
	}
	job, rejected := p.parseJob(request, class)
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

// isIdempotencyKeyValid reports whether a key is well-formed, or absent in a class that needs none.
func (p *requestParser) isIdempotencyKeyValid(key []byte, class int) bool {
	if key == nil {
		return p.settings.Classes[class].Idempotency != dispatch.IdempotentWithKey
	}
	return len(key) <= maxIdempotencyKeySize && http1.IsVisible(key)
}

// parseJob returns the job of a request, without its key.
func (p *requestParser) parseJob(request *http1.Request, class int) (dispatch.Job, *rejection) {
	tenant, known := p.tenants[string(request.Get("X-Caller"))]
	if !known && len(p.tenants) > 0 {
		return dispatch.Job{}, &rejection{400, "X-Caller: not a tenant"}
	}
	remaining := p.settings.Classes[class].ClientTimeout
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

// parseDemand sets the slots and the memory of a job from a list of name=value pairs. Other names are ignored.
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

// jobKey returns the hash of the last element of a path, or 0 without a path. Jobs on the same data have the same key.
func jobKey(pathRest []byte) uint64 {
	if len(pathRest) == 0 {
		return 0
	}
	hash := fnv.New64a()
	hash.Write(pathRest[bytes.LastIndexByte(pathRest, '/')+1:])
	return hash.Sum64() | 1
}

// parsePositive returns the value of a positive number below maxRequestNumber, or 0 for any other text.
func parsePositive(text []byte) float64 {
	number, err := strconv.ParseFloat(string(bytes.TrimSpace(text)), 64)
	if err != nil || !(number > 0 && number < maxRequestNumber) {
		return 0
	}
	return number
}
