package environment

// This file holds the table of jobs, by their numbers.

// jobTable is the jobs by their numbers, which count from 1.
type jobTable struct {
	records []jobRecord // in a ring of a power of two
	first   uint64      // the oldest job that is known
	next    uint64
}

type jobRecord struct {
	job     *job     // nil: settled
	request *request // nil: forgotten
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

// openJob is a job that is not settled; nil: it is, or there is none.
func (j *jobTable) openJob(n uint64) *job {
	if n < j.first || n >= j.next {
		return nil
	}
	return j.record(n).job
}

// setRequest enters a job's latest request, and returns the one before.
func (j *jobTable) setRequest(t *request) *request {
	p := j.record(t.jobID)
	before := p.request
	p.request = t
	return before
}

func (j *jobTable) settle(n uint64) { j.record(n).job = nil }

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
	t := j.record(job).request
	for t != nil && t.number > n {
		t = t.previous
	}
	if t == nil || t.number != n {
		return nil
	}
	return t
}
