package environment

// This file holds the table of jobs and their requests.

// jobTable maps the numbers of jobs, which count from 1, to their records.
type jobTable struct {
	records []jobRecord // ring buffer; its length is a power of two
	first   uint64      // number of the oldest job that has a record
	next    uint64      // number of the next job
}

type jobRecord struct {
	job     *job     // nil: settled
	request *request // the latest request; nil: none yet, or forgotten
}

func (j *jobTable) record(n uint64) *jobRecord { return &j.records[n&uint64(len(j.records)-1)] }

func (j *jobTable) add(job *job) uint64 {
	if j.next == 0 {
		j.first, j.next, j.records = 1, 1, make([]jobRecord, 1024)
	}
	if size := uint64(len(j.records)); j.next-j.first == size {
		old := *j
		j.records = make([]jobRecord, 2*size)
		for n := j.first; n < j.next; n++ {
			*j.record(n) = *old.record(n)
		}
	}
	*j.record(j.next) = jobRecord{job: job}
	j.next++
	return j.next - 1
}

// openJob returns a job that is not settled; nil: it is settled, or there is none with that number.
func (j *jobTable) openJob(n uint64) *job {
	if n < j.first || n >= j.next {
		return nil
	}
	return j.record(n).job
}

// setRequest records the latest request of a job and returns the previous one.
func (j *jobTable) setRequest(request *request) *request {
	record := j.record(request.jobID)
	previous := record.request
	record.request = request
	return previous
}

func (j *jobTable) settle(n uint64) { j.record(n).job = nil }

// forget drops the requests of a settled job.
func (j *jobTable) forget(n uint64) {
	j.record(n).request = nil
	for j.first < j.next && j.record(j.first).job == nil && j.record(j.first).request == nil {
		j.first++
	}
}

func (j *jobTable) find(job uint64, n int) *request {
	if job < j.first || job >= j.next {
		return nil
	}
	request := j.record(job).request
	for request != nil && request.number > n {
		request = request.previous
	}
	if request == nil || request.number != n {
		return nil
	}
	return request
}
