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

func (b *jobTable) record(n uint64) *jobRecord { return &b.records[n&uint64(len(b.records)-1)] }

func (b *jobTable) add(job *job) uint64 {
	if b.next == 0 {
		b.first, b.next, b.records = 1, 1, make([]jobRecord, 1024)
	}
	if size := uint64(len(b.records)); b.next-b.first == size {
		old := *b
		b.records = make([]jobRecord, 2*size)
		for n := b.first; n < b.next; n++ {
			*b.record(n) = *old.record(n)
		}
	}
	*b.record(b.next) = jobRecord{job: job}
	b.next++
	return b.next - 1
}

// openJob is a job that is not settled; nil: it is, or there is none.
func (b *jobTable) openJob(n uint64) *job {
	if n < b.first || n >= b.next {
		return nil
	}
	return b.record(n).job
}

// setRequest enters a job's latest request, and returns the one before.
func (b *jobTable) setRequest(t *request) *request {
	p := b.record(t.jobID)
	before := p.request
	p.request = t
	return before
}

func (b *jobTable) settle(n uint64) { b.record(n).job = nil }

func (b *jobTable) forget(n uint64) {
	b.record(n).request = nil
	for b.first < b.next && b.record(b.first).job == nil && b.record(b.first).request == nil {
		b.first++
	}
}

func (b *jobTable) find(job uint64, n int) *request {
	if job < b.first || job >= b.next {
		return nil
	}
	t := b.record(job).request
	for t != nil && t.number > n {
		t = t.previous
	}
	if t == nil || t.number != n {
		return nil
	}
	return t
}
