package capture

import (
	"time"

	"valvecove/dispatch"
)

// recordedDispatcher is a policy that records the steps of its dispatcher.
type recordedDispatcher struct {
	*dispatch.Dispatcher
	recorder *Recorder
}

// Step calls the dispatcher's Step and records it, even if it panics.
func (r *recordedDispatcher) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	recorder := r.recorder
	recorder.protect(func() { recorder.beforeStep(now, events) })
	before := len(dst)
	hasReturned := false
	defer func() {
		if !hasReturned {
			recorder.protect(func() { recorder.recordStep(now, events, nil, true) })
		}
	}()
	dst = r.Dispatcher.Step(now, events, dst)
	hasReturned = true
	recorder.protect(func() { recorder.recordStep(now, events, dst[before:], false) })
	return dst
}

// beforeStep starts a segment if one is due. It also stores the dispatcher's estimates for the keys of new jobs, as the step may
// change them.
func (r *Recorder) beforeStep(now time.Duration, events []dispatch.Event) {
	r.openSegmentIfDue(now)
	r.keyWork = r.keyWork[:0]
	for _, event := range events {
		job, ok := arrivedJob(event)
		if !ok {
			continue
		}
		var known *float64
		if work, ok := r.current.KeyWork(job.Key); ok {
			known = &work
		}
		r.keyWork = append(r.keyWork, known)
	}
}

// recordStep writes the events and the decisions of a step.
func (r *Recorder) recordStep(now time.Duration, events []dispatch.Event, actions []dispatch.Action, panicked bool) {
	lines := r.stepLines(events, actions)
	if panicked {
		lines = append(lines, Line{Output: outputPanic})
	}
	for i, line := range lines {
		if line.CallID == "" && line.Job != 0 {
			line.CallID = r.callIDs[line.Job]
		}
		line = withTime(now, line)
		if i > 0 {
			line.Nanoseconds = 0
		} else if len(lines) > 1 {
			line.StepLines = len(lines)
		}
		r.write(line)
	}
	r.flush()
	for _, job := range r.forgotten {
		delete(r.callIDs, job)
	}
	r.forgotten = r.forgotten[:0]
}

// stepLines returns the lines of a step, without times and call IDs.
func (r *Recorder) stepLines(events []dispatch.Event, actions []dispatch.Action) []Line {
	lines := make([]Line, 0, len(events)+len(actions))
	keyWork := r.keyWork
	for _, event := range events {
		line := r.eventLine(event)
		if _, ok := arrivedJob(event); ok {
			line.KeyWork = keyWork[0]
			keyWork = keyWork[1:]
		}
		lines = append(lines, line)
	}
	for _, action := range actions {
		if line := r.actionLine(action); line.Output != "" {
			lines = append(lines, line)
		}
	}
	return lines
}

// eventLine returns the line of an event; Line.event is its inverse.
func (r *Recorder) eventLine(event dispatch.Event) Line {
	switch event := event.(type) {
	case dispatch.Job:
		return Line{Input: inputJob, Job: event.ID, ArrivedJob: &event}
	case dispatch.Outcome:
		return r.lineOfWorker(event.Worker, Line{
			Input: inputOutcome, Job: event.Job, Attempt: event.Attempt, Result: event.Result, Closed: event.Closed, Report: event.Report,
		})
	case dispatch.Started:
		return r.lineOfWorker(event.Worker, Line{Input: inputStarted, Job: event.Job, Attempt: event.Attempt})
	case dispatch.Progressed:
		return r.lineOfWorker(event.Worker, Line{Input: inputProgress, Job: event.Job, Attempt: event.Attempt, Progress: event.Share})
	case dispatch.ClientDisconnected:
		return Line{Input: inputDisconnected, Job: event.Job}
	case dispatch.HealthChecked:
		return r.lineOfWorker(event.Worker, Line{Input: inputHealthChecked, Result: event.Result, Report: event.Report})
	case dispatch.TimerFired:
		return Line{Input: inputTimer}
	case dispatch.Cordoned:
		return r.lineOfWorker(event.Worker, Line{Input: inputCordoned})
	case dispatch.Uncordoned:
		return r.lineOfWorker(event.Worker, Line{Input: inputUncordoned})
	case dispatch.PeerMessageReceived:
		return Line{Input: inputPeerMessage, Peer: event.From, Message: newPeerMessage(event.Message)}
	case dispatch.WorkerList:
		return r.workerListLine(event)
	}
	return r.rareEventLine(event)
}

// workerListLine returns the line of an endpoint list.
func (r *Recorder) workerListLine(list dispatch.WorkerList) Line {
	line := Line{Input: inputWorkerList, ListKind: list.Kind}
	for _, worker := range list.Workers {
		endpoint := r.endpoint(worker.ID)
		line.Workers = append(line.Workers, listedWorker{
			Name: endpoint.ID, Addr: endpoint.Addr, State: endpoint.Lifecycle, Worker: worker,
		})
		r.namedWorkers[worker.ID] = true
	}
	return line
}

// actionLine returns the line of an action. The Output is empty for an action that is not recorded, such as a timer or a log
// line.
func (r *Recorder) actionLine(action dispatch.Action) Line {
	switch action := action.(type) {
	case dispatch.Send:
		return r.lineOfWorker(action.Worker, Line{Output: outputSend, Job: action.Job, DelayNanoseconds: int64(action.AttemptTimeout)})
	case dispatch.Reject:
		return Line{Output: outputReject, Job: action.Job, DelayNanoseconds: int64(action.RetryAfter)}
	case dispatch.Fail:
		return Line{Output: outputFail, Job: action.Job}
	case dispatch.Cancel:
		return Line{Output: outputCancel, Job: action.Job, Attempt: action.Attempt}
	case dispatch.HealthCheck:
		return r.lineOfWorker(action.Worker, Line{Output: outputHealthCheck})
	case dispatch.CloseIdleConnections:
		return r.lineOfWorker(action.Worker, Line{Output: outputCloseIdle})
	case dispatch.Subscribe:
		return Line{Output: outputSubscribe}
	case dispatch.SendPeerMessage:
		return Line{Output: outputPeerMessage, Peer: action.To, Message: newPeerMessage(action.Message)}
	}
	return Line{}
}

// event returns the event of a line; Recorder.eventLine is its inverse.
func (l *Line) event() dispatch.Event {
	switch l.Input {
	case inputJob:
		return *l.ArrivedJob
	case inputOutcome:
		return dispatch.Outcome{
			Job: l.Job, Attempt: l.Attempt, Worker: l.WorkerNumber, Result: l.Result, Closed: l.Closed, Report: l.Report,
		}
	case inputStarted:
		return dispatch.Started{Job: l.Job, Attempt: l.Attempt, Worker: l.WorkerNumber}
	case inputProgress:
		return dispatch.Progressed{Job: l.Job, Attempt: l.Attempt, Worker: l.WorkerNumber, Share: l.Progress}
	case inputDisconnected:
		return dispatch.ClientDisconnected{Job: l.Job}
	case inputHealthChecked:
		return dispatch.HealthChecked{Worker: l.WorkerNumber, Result: l.Result, Report: l.Report}
	case inputCordoned:
		return dispatch.Cordoned{Worker: l.WorkerNumber}
	case inputUncordoned:
		return dispatch.Uncordoned{Worker: l.WorkerNumber}
	case inputPeerMessage:
		return dispatch.PeerMessageReceived{From: l.Peer, Message: l.Message.message()}
	case inputWorkerList:
		list := dispatch.WorkerList{Kind: l.ListKind}
		for _, worker := range l.Workers {
			list.Workers = append(list.Workers, worker.Worker)
		}
		return list
	case inputTimer:
		return dispatch.TimerFired{}
	}
	return l.rareEvent()
}
