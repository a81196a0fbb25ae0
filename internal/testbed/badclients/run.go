package badclients

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"valvecove/internal/testbed/fakeplatform"
)

// Classes of the plays' settings.
const (
	classPayout = "payout" // must never run twice
	classCheck  = "check"  // may be repeated
)

// settings are the settings of the plays' schedulers.
const settings = `{"classes":[
{"name":"payout","promise":500000,"give_up":7500000,"window":5000000,"idempotency":"side_effect"},
{"name":"check","promise":80000,"give_up":5000000,"window":5000000,"idempotency":"pure"}],
"discovery":"subscribe","domain":{"tells_start":true,"class_stretch":[2,2.5]},
"bounds":{"try_limit":3,"connect_timeout":250000,"cancelling":true,"retry_after":true,"max_retry_after":2000000}}`

const (
	workers          = 6
	usualJobTime     = 20 * time.Millisecond
	departureJobTime = 300 * time.Millisecond
	loadTime         = 3 * time.Second
	replaceAfter     = time.Second
	readyPolls       = 1000
	readyInterval    = 10 * time.Millisecond
	restBetween      = time.Millisecond // of a misbehaving client, before its next connection
)

var errNotReady = errors.New("the scheduler is not ready")

// Result is the outcome of a play.
type Result struct {
	Play       Play
	PeakMemory int64       // bytes, of all processes together
	Answers    map[int]int // to usual clients, or to the repeats of a Departure, by status
	Slowest    time.Duration
	Shut       int // new connections of usual clients that were closed unread
	Sent       int // requests of misbehaving clients
	Violations []Violation
}

// String returns the figures in one line.
func (r Result) String() string {
	return fmt.Sprintf("%v: peak %.1f MB, answers %v, slowest %v, shut %d, %d sent by others", r.Play,
		float64(r.PeakMemory)/(1<<bytesPerMBShift), r.Answers, r.Slowest.Round(time.Millisecond), r.Shut, r.Sent)
}

// session is a play that runs.
type session struct {
	play      Play
	binary    string
	directory string // for files of the processes; removed at the end
	platform  *fakeplatform.Platform
	monitor   *memoryMonitor
	processes []*fakeplatform.Process
	result    Result
}

// Run runs a play with processes of a scheduler's program. An error means that the play could not run; what the scheduler did wrong is
// in the result.
func Run(ctx context.Context, play Play, binary string) (Result, error) {
	directory, err := os.MkdirTemp("", "bad-clients-")
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	platform, err := fakeplatform.New(workers)
	if err != nil {
		return Result{}, err
	}
	defer platform.Close()
	run := &session{play: play, binary: binary, directory: directory, platform: platform, result: Result{Play: play}}
	run.prepare()
	run.monitor = startMemoryMonitor()
	err = run.run(ctx)
	run.result.PeakMemory = run.monitor.end()
	for _, process := range run.processes {
		process.Kill()
	}
	if limit := int64(play.MemoryMB) << bytesPerMBShift; run.result.PeakMemory > limit {
		run.result.violate(RuleMemory, "the processes have %d bytes of memory together, %d allowed", run.result.PeakMemory, limit)
	}
	return run.result, err
}

// prepare sets the limits of the scheduler, and how long jobs run.
func (s *session) prepare() {
	s.platform.Sockets, s.platform.MemoryMB = s.play.Sockets, s.play.MemoryMB
	for _, worker := range s.platform.Workers {
		worker.JobTime = usualJobTime
		if s.play.Kind == Departure {
			worker.JobTime = departureJobTime
		}
	}
}

func (s *session) run(ctx context.Context) error {
	if err := s.startProcess(); err != nil {
		return err
	}
	if s.play.Kind == Departure {
		return s.runDeparture(ctx)
	}
	return s.runLoad(ctx)
}

// startProcess starts a process and waits until it is ready.
func (s *session) startProcess() error {
	process, err := s.platform.Start([]string{s.binary, "serve"}, nil, s.directory, s.directory, settings)
	if err != nil {
		return err
	}
	s.processes = append(s.processes, process)
	s.monitor.add(process.ID())
	for range readyPolls {
		if process.Ready() {
			return nil
		}
		if process.HasEnded() {
			break
		}
		time.Sleep(readyInterval)
	}
	process.Kill()
	return fmt.Errorf("%w: %s", errNotReady, process.Log.String())
}

// replace replaces the process that serves.
func (s *session) replace() error {
	before := s.processes[len(s.processes)-1]
	if err := s.startProcess(); err != nil {
		return err
	}
	if code := before.Terminate(); code != 0 {
		s.result.violate(RuleRuns, "the replaced process ended with exit code %d", code)
	}
	return nil
}

// runLoad runs usual clients beside misbehaving ones.
func (s *session) runLoad(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTime)
	defer cancel()
	usual := &usualLoad{address: s.platform.Listen, bodySize: s.play.BodySize, answers: map[int]int{}}
	var group sync.WaitGroup
	group.Go(func() { usual.run(ctx.Done()) })
	sent := make([]int, s.play.Clients)
	for number := range s.play.Clients {
		group.Go(func() { sent[number] = s.misbehave(number, ctx.Done()) })
	}
	var err error
	if s.play.Replaced && waitUnless(ctx.Done(), replaceAfter) {
		err = s.replace()
	}
	group.Wait()
	for _, count := range sent {
		s.result.Sent += count
	}
	s.result.Answers, s.result.Slowest, s.result.Shut = usual.answers, usual.slowest, usual.shut
	s.result.Violations = append(s.result.Violations, usual.violations...)
	if s.processes[len(s.processes)-1].HasEnded() {
		s.result.violate(RuleRuns, "the scheduler has ended")
	}
	return err
}

// misbehave has a client connect and misbehave until stop is closed, and returns how many requests it has begun.
func (s *session) misbehave(number int, stop <-chan struct{}) (count int) {
	for waitUnless(stop, restBetween) {
		address := s.platform.Listen
		if s.play.Behaviour == floodManagement {
			address = s.processes[0].ManagementAddress
		}
		connection, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		client := fmt.Sprintf("bad-%d-%d", number, count)
		count += s.misbehaveOn(connection, client, stop)
	}
	return count
}

// misbehaveOn has a client misbehave on a connection, which it closes, and returns how many requests it has begun.
func (s *session) misbehaveOn(connection net.Conn, client string, stop <-chan struct{}) (count int) {
	ended := make(chan struct{})
	defer close(ended)
	go func() { // a blocked write or read ends with the play
		select {
		case <-stop:
		case <-ended:
		}
		_ = connection.Close()
	}()
	if s.play.Behaviour != floodUnread {
		go func() { _, _ = io.Copy(io.Discard, connection) }()
	}
	if s.play.Kind == Flood {
		return writeFlood(s.play.Behaviour, client, connection, stop)
	}
	newSlowRequest(s.play.Behaviour, client).writeTo(connection, stop)
	return 1
}

// runDeparture has a client leave, and its requests come again.
func (s *session) runDeparture(ctx context.Context) error {
	departed := newDeparture(s.play, s.platform)
	if err := departed.leave(); err != nil {
		return err
	}
	if s.play.Replaced {
		if err := s.replace(); err != nil {
			return err
		}
	}
	waitUnless(ctx.Done(), time.Until(departed.closedAt.Add(s.play.RepeatAfter)))
	departed.checkAttempts(&s.result)
	s.result.Answers = departed.repeat()
	s.result.Sent = s.play.Requests
	departed.checkRuns(&s.result)
	if lost := s.result.Answers[0]; lost > 0 {
		s.result.violate(RuleInTime, "%d repeats have no answer", lost)
	}
	return nil
}
