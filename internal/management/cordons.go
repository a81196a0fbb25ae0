package management

import (
	"log/slog"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
	"valvecove/internal/http1"
)

// CordonTable holds the cordoned workers. *requests.Table implements it.
type CordonTable interface {
	// Cordon cordons a worker. known is false if no such worker was ever listed, full is true if too many are cordoned.
	Cordon(workerID string) (known, full bool)
	// Uncordon reverses Cordon.
	Uncordon(workerID string) (known bool)
	// Cordoned returns the IDs of the cordoned workers.
	Cordoned() []string
	// SetCordoned replaces the cordoned workers.
	SetCordoned(workerIDs []string)
}

// Role is the role of this process in a hot restart. Cordons are applied by the process that owns the requests.
type Role interface {
	// HasRelinquished reports whether a successor owns the requests.
	HasRelinquished() bool
	// IsStandby reports whether a predecessor owns the requests.
	IsStandby() bool
	// ForwardCordon forwards a call to the process that owns the requests. respond is called with its response, or with an error
	// if that process can't be reached. ForwardCordon is called only if HasRelinquished or IsStandby is true.
	ForwardCordon(workerID string, cordoned bool, respond RespondFunc)
	// CordonsChanged notifies a successor in standby, if there is one, of the cordoned workers.
	CordonsChanged()
}

// RespondFunc receives the response to a cordon call: an HTTP status code and a line of text. It is called once.
type RespondFunc = func(statusCode int, message string)

// CordonsConfig configures Cordons.
type CordonsConfig struct {
	Table CordonTable
	Role  Role
	Store *hotrestart.CordonStore // nil: cordons are not stored
	Log   *slog.Logger

	// LoadFile reads the stored cordoned workers.
	LoadFile func() (workerIDs []string, err error)
}

// Cordons applies the operators' cordons and stores the cordoned workers.
type Cordons struct {
	loop   *eventloop.Loop
	config CordonsConfig
}

// NewCordons returns Cordons that changes no worker yet. Restore loads the cordons that an earlier process has stored.
func NewCordons(loop *eventloop.Loop, config CordonsConfig) *Cordons {
	return &Cordons{loop: loop, config: config}
}

// Restore cordons the workers that an earlier process had cordoned, when this process starts. If the file can't be read, the
// error is logged and no worker is cordoned: operators can cordon them again.
func (c *Cordons) Restore() {
	workerIDs, err := c.config.LoadFile()
	if err != nil {
		c.logLoadError(err)
	}
	c.config.Table.SetCordoned(workerIDs)
	if len(workerIDs) > 0 {
		c.config.Log.Info("cordoned workers", "workers", strings.Join(workerIDs, " "))
	}
}

// Reload replaces the cordoned workers by the stored ones. If the file can't be read, the error is logged and nothing changes.
func (c *Cordons) Reload() {
	workerIDs, err := c.config.LoadFile()
	if err != nil {
		c.logLoadError(err)
		return
	}
	c.config.Table.SetCordoned(workerIDs)
}

func (c *Cordons) logLoadError(err error) {
	c.config.Log.Error("cordoned workers can't be read", "error", err)
}

// LogStoreChanges returns the callback of a cordon store that logs when storing begins to fail, and when it succeeds again.
func LogStoreChanges(log *slog.Logger) func(err error) {
	return func(err error) {
		if err != nil {
			log.Error("cordoned workers are not stored", "error", err)
			return
		}
		log.Info("cordoned workers are stored again")
	}
}

// OwnFile is called once no other process writes the file of cordoned workers. It removes the temporary files of killed
// processes.
func (c *Cordons) OwnFile() {
	if c.config.Store != nil {
		c.config.Store.RemoveStrayFiles()
	}
}

// Store stores the cordoned workers. A successor calls it after a takeover: its predecessor may have failed to store them.
func (c *Cordons) Store() {
	if c.config.Store != nil {
		c.config.Store.SaveWithoutCallback(c.config.Table.Cordoned())
	}
}

// Fence stops writing the file, so that a successor can write it. It returns false if a write is in progress; the caller then
// retries.
func (c *Cordons) Fence() bool { return c.config.Store == nil || c.config.Store.Fence() }

// Unfence resumes writing the file, after a successor has failed to take over.
func (c *Cordons) Unfence() {
	if c.config.Store != nil {
		c.config.Store.Unfence()
	}
}

// UnstoredCount returns 1 if the last change is in memory only, and 0 if it is stored or this process does not store cordons.
func (c *Cordons) UnstoredCount() int {
	if c.config.Store == nil || c.config.Role.HasRelinquished() || c.config.Store.State().Stored {
		return 0
	}
	return 1
}

// cordonReport is the body of the response to the call for the cordoned workers.
type cordonReport struct {
	WorkerIDs  []string `json:"out"`
	Stored     bool     `json:"kept"`
	UnstoredMs int64    `json:"not_kept_ms,omitempty"`
	LastError  string   `json:"error,omitempty"`
}

// report returns the cordoned workers, and whether they are stored, as a line of JSON.
func (c *Cordons) report() []byte {
	report := cordonReport{WorkerIDs: c.config.Table.Cordoned()}
	if report.WorkerIDs == nil {
		report.WorkerIDs = []string{}
	}
	if c.config.Store == nil {
		report.LastError = "no directory to keep them in"
	} else if state := c.config.Store.State(); state.Stored {
		report.Stored = true
	} else {
		report.UnstoredMs = (c.loop.Now() - state.UnsavedSince).Milliseconds()
		if state.LastError != nil {
			report.LastError = state.LastError.Error()
		}
	}
	text, _ := jsoniter.ConfigDefault.Marshal(report) // strings and numbers can't fail to marshal
	return append(text, '\n')
}

// Set cordons or uncordons a worker, in this process or in the one that owns the requests. respond is called once the change is
// in effect and stored, or has failed.
func (c *Cordons) Set(workerID string, cordoned bool, respond RespondFunc) {
	if c.config.Role.HasRelinquished() || c.config.Role.IsStandby() {
		c.config.Role.ForwardCordon(workerID, cordoned, respond)
		return
	}
	var known, full bool
	if cordoned {
		known, full = c.config.Table.Cordon(workerID)
	} else {
		known = c.config.Table.Uncordon(workerID)
	}
	switch {
	case !known:
		respond(http1.StatusNotFound, "no such worker node")
	case full:
		respond(http1.StatusServiceUnavailable, "too many worker nodes are out")
	default:
		c.storeChange(workerID, cordoned, respond)
	}
}

// storeChange stores the cordoned workers after a change, which stays in effect whether or not it can be stored.
func (c *Cordons) storeChange(workerID string, cordoned bool, respond RespondFunc) {
	state := "serving"
	if cordoned {
		state = "out"
	}
	c.config.Log.Info("worker cordon changed", "worker", workerID, "state", state)
	c.config.Role.CordonsChanged()
	if c.config.Store == nil {
		// The caller's next call may be accepted in this iteration, and must show the change.
		c.loop.AfterStep(func() { respond(http1.StatusOK, state) })
		return
	}
	c.config.Store.Save(c.config.Table.Cordoned(), func(err error) {
		if err != nil { // the store retries
			respond(http1.StatusServiceUnavailable, "not kept: "+err.Error())
			return
		}
		respond(http1.StatusOK, state)
	})
}

// Apply carries out a cordon call that the other process has forwarded. send is called with the result.
func (c *Cordons) Apply(call hotrestart.SetCordon, send func(hotrestart.CordonResult)) {
	c.Set(call.WorkerID, call.Cordoned, func(statusCode int, message string) {
		send(hotrestart.CordonResult{Sequence: call.Sequence, StatusCode: statusCode, Message: message})
	})
}
