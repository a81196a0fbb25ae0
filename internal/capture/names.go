package capture

import (
	"fmt"
	"strconv"
)

// names maps the numbers of workers and jobs in a segment to endpoint IDs and call IDs.
type names struct {
	workerNumbers map[string]uint64
	workerNames   map[uint64]string
	callIDs       map[uint64]string // by job number
}

// newNames returns the names of a segment whose first line has the given call IDs.
func newNames(callIDs map[uint64]string) names {
	if callIDs == nil {
		callIDs = map[uint64]string{}
	}
	return names{workerNumbers: map[string]uint64{}, workerNames: map[uint64]string{}, callIDs: callIDs}
}

// resolve adds the names of a line's job and worker. If the line has no worker number, resolve sets the number that an earlier
// line of the segment had for the worker.
func (n *names) resolve(line *Line) error {
	if line.Job != 0 && line.CallID != "" {
		n.callIDs[line.Job] = line.CallID
	}
	if line.Worker == "" {
		return nil
	}
	if line.WorkerNumber != 0 {
		n.addWorker(line.Worker, line.WorkerNumber)
		return nil
	}
	line.WorkerNumber = n.workerNumbers[line.Worker]
	if line.WorkerNumber == 0 {
		return fmt.Errorf("worker %q has no number in an earlier line of its segment", line.Worker)
	}
	return nil
}

// addListed adds the workers of an endpoint list.
func (n *names) addListed(workers []listedWorker) {
	for _, worker := range workers {
		n.addWorker(worker.Name, worker.Worker.ID)
	}
}

// addWorker adds a worker, unless its name is empty.
func (n *names) addWorker(name string, number uint64) {
	if name == "" {
		return
	}
	n.workerNumbers[name] = number
	n.workerNames[number] = name
}

// job returns the call ID of a job, or its number if the call ID is not known.
func (n *names) job(number uint64) string {
	if id := n.callIDs[number]; id != "" {
		return id
	}
	return "job " + strconv.FormatUint(number, 10)
}

// worker returns the endpoint ID of a worker, or its number if the ID is not known.
func (n *names) worker(number uint64) string {
	if name := n.workerNames[number]; name != "" {
		return name
	}
	return "worker " + strconv.FormatUint(number, 10)
}
