package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"runtime/debug"
)

// Garbage collection targets, in percent of the live heap.
const (
	rigGCPercent   = 400 // the rig allocates much, and its live heap is small
	proxyGCPercent = 200 // the same as the scheduler's
)

// extraProcessors is how many processors of the Go runtime the rig has besides one for each engine.
const extraProcessors = 2

// childMessage is a message from the rig's process to the measurement, one JSON value a line. Only one field is set, except
// that Usage accompanies Result. In the other direction the measurement sends the Spec and then the targets; the end of
// that stream ends the rig.
type childMessage struct {
	Addresses *Addresses `json:"places,omitempty"` // the rig is ready
	Mark      string     `json:"mark,omitempty"`
	Result    *Result    `json:"result,omitempty"` // the last message
	Usage     *RigUsage  `json:"usage,omitempty"`  // with the result
	Failure   string     `json:"fault,omitempty"`  // the last message, without a result
}

// RunRigProcess is the main function of the rig's process. It reads from input and writes to output until the run is
// over.
func RunRigProcess(input io.Reader, output io.Writer) error {
	debug.SetGCPercent(rigGCPercent)
	encoder := json.NewEncoder(output)
	if err := serveRig(json.NewDecoder(input), encoder); err != nil {
		_ = encoder.Encode(childMessage{Failure: err.Error()})
		return err
	}
	return nil
}

func serveRig(decoder *json.Decoder, encoder *json.Encoder) error {
	var spec Spec
	if err := decoder.Decode(&spec); err != nil {
		return fmt.Errorf("spec: %w", err)
	}
	runtime.GOMAXPROCS(len(spec.Cores) + extraProcessors)
	rig, err := NewRig(spec)
	if err != nil {
		return err
	}
	defer rig.Close()
	addresses := rig.Addresses()
	if err := encoder.Encode(childMessage{Addresses: &addresses}); err != nil {
		return err
	}
	var targets []netip.AddrPort
	if err := decoder.Decode(&targets); err != nil {
		return fmt.Errorf("targets: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		_ = decoder.Decode(&struct{}{}) // returns at the end of the stream
		cancel()
	}()
	result, err := rig.Run(ctx, targets, func(mark string) { _ = encoder.Encode(childMessage{Mark: mark}) })
	if err != nil {
		return err
	}
	usage := rig.usage()
	return encoder.Encode(childMessage{Result: &result, Usage: &usage})
}

// RunProxyProcess is the main function of the proxy's process. It reads a ProxyPlan, and serves until input ends.
func RunProxyProcess(input io.Reader) error {
	debug.SetGCPercent(proxyGCPercent)
	runtime.GOMAXPROCS(1)
	var plan ProxyPlan
	if err := json.NewDecoder(input).Decode(&plan); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	return ServeProxy(plan, input)
}
