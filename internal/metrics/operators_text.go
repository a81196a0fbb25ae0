package metrics

import (
	"strconv"

	"valvecove/internal/requests"
)

// namePrefix begins each name in the text of the operators' metrics call.
const namePrefix = "edge_proxy."

// responseNames are the names of the counts of jobs by response. What has no name is not written.
var responseNames = [responseKinds]string{
	requests.ResponseResult:   "success",
	requests.ResponseRejected: "busy",
	requests.ResponseFailed:   "failure",
}

// Gauges are the figures of the operators' metrics call that are read at the time of the call and not counted.
type Gauges struct {
	OpenRequests   int // admitted and not ended
	ListedWorkers  int // in the endpoint list
	AvoidedWorkers int // of those, that are cordoned or avoided by the dispatch policy
	// UnstoredCordons is 1 as long as the last change of the cordoned workers is in memory only.
	UnstoredCordons int
	Peers           PeerCounts
}

// AppendText appends the text of the operators' metrics call to dst, a "name=value" line for each figure, and returns the
// extended slice. It allocates only where dst has no room.
func (c *Counters) AppendText(dst []byte, gauges Gauges) []byte {
	for response, name := range responseNames {
		if name == "" {
			continue
		}
		for class, className := range c.names.Classes {
			dst = append(dst, namePrefix...)
			dst = append(dst, name...)
			dst = append(dst, '.')
			dst = append(dst, className...)
			dst = appendValue(dst, c.Responses(requests.Response(response), class))
		}
	}
	dst = appendFigure(dst, "backend_calls", c.attemptsWritten)
	dst = appendFigure(dst, "inflight", uint64(gauges.OpenRequests))
	dst = appendFigure(dst, "hosts_listed", uint64(gauges.ListedWorkers))
	dst = appendFigure(dst, "hosts_down", uint64(gauges.AvoidedWorkers))
	dst = appendFigure(dst, "hosts_out_not_kept", uint64(gauges.UnstoredCordons))
	return appendPeerCounts(dst, gauges.Peers)
}

func appendFigure(dst []byte, name string, value uint64) []byte {
	dst = append(dst, namePrefix...)
	dst = append(dst, name...)
	return appendValue(dst, value)
}

func appendValue(dst []byte, value uint64) []byte {
	dst = append(dst, '=')
	dst = strconv.AppendUint(dst, value, 10)
	return append(dst, '\n')
}
