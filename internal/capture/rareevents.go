package capture

import (
	"fmt"
	"time"

	"valvecove/dispatch"
)

// The types of this file are the stored forms of events that few schedulers receive: after a hot restart without the dispatcher's
// state, or from planners.

// resumedJob is a dispatch.JobResumed without its job, which is Line.ArrivedJob.
type resumedJob struct {
	Age          time.Duration `json:"age,omitempty"`
	QuotaCharged bool          `json:"charged,omitempty"`
	Attempts     []pastAttempt `json:"attempts,omitempty"`
}

// pastAttempt is a dispatch.PastAttempt.
type pastAttempt struct {
	Worker     uint64          `json:"number,omitempty"`
	SentAgo    time.Duration   `json:"sent_ago,omitempty"`
	StartedAgo time.Duration   `json:"started_ago,omitempty"`
	Ended      bool            `json:"ended,omitempty"`
	Result     dispatch.Result `json:"result,omitempty"`
}

// replicas is a dispatch.ReplicasChanged.
type replicas struct {
	Count      int     `json:"count,omitempty"`
	Index      int     `json:"index,omitempty"`
	QuotaShare float64 `json:"quota_share,omitempty"`
}

// modelUpdate is a dispatch.ModelUpdate.
type modelUpdate struct {
	Snapshot  []byte        `json:"snapshot,omitempty"`
	Age       time.Duration `json:"age,omitempty"`
	LoadShare float64       `json:"load_share,omitempty"`
}

// rareEventLine returns the line of an event that few schedulers receive; Line.rareEvent is its inverse. It panics if the type of the
// event is unknown, with the name of the type.
func (r *Recorder) rareEventLine(event dispatch.Event) Line {
	switch event := event.(type) {
	case dispatch.JobResumed:
		return lineOfResumedJob(event)
	case dispatch.ResponseStarted:
		return r.lineOfWorker(event.Worker, Line{Input: inputResponseStarted, Job: event.Job, Attempt: event.Attempt})
	case dispatch.ReplicasChanged:
		return lineOfReplicas(event)
	case dispatch.ModelUpdate:
		return lineOfModelUpdate(event)
	}
	panic(fmt.Sprintf("unknown type of event: %T", event))
}

// rareEvent returns the event of a line whose kind is known.
func (l *Line) rareEvent() dispatch.Event {
	switch l.Input {
	case inputJobResumed:
		return l.jobResumed()
	case inputReplicasChanged:
		return l.replicasChanged()
	case inputModelUpdate:
		return dispatch.ModelUpdate(*l.ModelUpdate)
	}
	return dispatch.ResponseStarted{Job: l.Job, Attempt: l.Attempt, Worker: l.WorkerNumber}
}

// lineOfResumedJob returns the line of a resumed job.
func lineOfResumedJob(event dispatch.JobResumed) Line {
	resumed := &resumedJob{Age: event.Age, QuotaCharged: event.QuotaCharged}
	for _, attempt := range event.Attempts {
		resumed.Attempts = append(resumed.Attempts, pastAttempt(attempt))
	}
	job := event.Job
	return Line{Input: inputJobResumed, Job: job.ID, ArrivedJob: &job, ResumedJob: resumed}
}

// jobResumed returns the event of a line of a resumed job.
func (l *Line) jobResumed() dispatch.JobResumed {
	event := dispatch.JobResumed{Job: *l.ArrivedJob, Age: l.ResumedJob.Age, QuotaCharged: l.ResumedJob.QuotaCharged}
	for _, attempt := range l.ResumedJob.Attempts {
		event.Attempts = append(event.Attempts, dispatch.PastAttempt(attempt))
	}
	return event
}

// lineOfReplicas returns the line of a change of the replicas.
func lineOfReplicas(event dispatch.ReplicasChanged) Line {
	changed := replicas{Count: event.Replicas, Index: event.ReplicaIndex, QuotaShare: event.QuotaShare}
	return Line{Input: inputReplicasChanged, Replicas: &changed}
}

// replicasChanged returns the event of a line of a change of the replicas.
func (l *Line) replicasChanged() dispatch.ReplicasChanged {
	return dispatch.ReplicasChanged{Replicas: l.Replicas.Count, ReplicaIndex: l.Replicas.Index, QuotaShare: l.Replicas.QuotaShare}
}

// lineOfModelUpdate returns the line of a model update.
func lineOfModelUpdate(event dispatch.ModelUpdate) Line {
	update := modelUpdate(event)
	return Line{Input: inputModelUpdate, ModelUpdate: &update}
}

// arrivedJob returns the job that an event adds, if it adds one.
func arrivedJob(event dispatch.Event) (job dispatch.Job, ok bool) {
	switch event := event.(type) {
	case dispatch.Job:
		return event, true
	case dispatch.JobResumed:
		return event.Job, true
	}
	return dispatch.Job{}, false
}
