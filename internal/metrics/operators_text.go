package metrics

import (
	"strconv"

	"valvecove/internal/requests"
)

// namePrefix is the prefix of each name in the text of the operators' metrics call.
const namePrefix = "edge_proxy."

// responseNames contains the names of the counts of jobs by response. A count without a name is not written.
var responseNames = [responseKinds]string{
	requests.ResponseResult:   "success",
	requests.ResponseRejected: "busy",
	requests.ResponseFailed:   "failure",
}

// Gauges contains the values of the operators' metrics call that are not counters. They are read at the time of the call.
type Gauges struct {
	OpenRequests   int // admitted and not ended
	ListedWorkers  int // in the endpoint list
	AvoidedWorkers int // listed workers that are cordoned or avoided by the dispatch policy
	// UnstoredCordons is 1 while the last change of the cordoned workers is not on the disk, else 0.
	UnstoredCordons int
	Peers           PeerCounts
}

// AppendText appends the text of the operators' metrics call to dst, a "name=value" line for each metric, and returns the
// extended slice. It allocates only if the capacity of dst is too small.
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
	dst = appendLine(dst, "backend_calls", c.attemptsWritten)
	dst = appendLine(dst, "inflight", uint64(gauges.OpenRequests))
	dst = appendLine(dst, "hosts_listed", uint64(gauges.ListedWorkers))
	dst = appendLine(dst, "hosts_down", uint64(gauges.AvoidedWorkers))
	dst = appendLine(dst, "hosts_out_not_kept", uint64(gauges.UnstoredCordons))
	return appendPeerCounts(dst, gauges.Peers)
}

// appendLine appends a line with a name and a value.
func appendLine(dst []byte, name string, value uint64) []byte {
	dst = append(dst, namePrefix...)
	dst = append(dst, name...)
	return appendValue(dst, value)
}

// appendValue appends the part of a line after the name.
func appendValue(dst []byte, value uint64) []byte {
	dst = append(dst, '=')
	dst = strconv.AppendUint(dst, value, 10)
	return append(dst, '\n')
}
