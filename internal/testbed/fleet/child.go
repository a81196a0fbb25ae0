package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"runtime/debug"
)

// The words between a run and the process that its rig runs in: one JSON value a line each way. The run says Spec and
// then targets; the rig says news. The end of what the run says ends the rig.
type childMessage struct {
	Addresses *Addresses `json:"places,omitempty"` // it is up
	Mark      string     `json:"mark,omitempty"`
	Result    *Result    `json:"result,omitempty"` // its last word
	Failure   string     `json:"fault,omitempty"`  // or that
}

// RunRigProcess is the whole of a rig's process.
func RunRigProcess(in io.Reader, outputs io.Writer) error {
	debug.SetGCPercent(400) // much is left behind and little held
	say := json.NewEncoder(outputs)
	if err := serveRig(bufio.NewReader(in), say); err != nil {
		_ = say.Encode(childMessage{Failure: err.Error()})
		return err
	}
	return nil
}

func serveRig(in *bufio.Reader, say *json.Encoder) error {
	receive := json.NewDecoder(in)
	var spec Spec
	if err := receive.Decode(&spec); err != nil {
		return fmt.Errorf("spec: %w", err)
	}
	runtime.GOMAXPROCS(len(spec.Cores) + 2) // each engine has a processor of the runtime's, whatever else goes on
	rig, err := NewRig(spec)
	if err != nil {
		return err
	}
	defer rig.Close()
	places := rig.Addresses()
	if err := say.Encode(childMessage{Addresses: &places}); err != nil {
		return err
	}
	var targets []netip.AddrPort
	if err := receive.Decode(&targets); err != nil {
		return fmt.Errorf("targets: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		_ = receive.Decode(&struct{}{}) // nothing more is said
		cancel()
	}()
	result, err := rig.Run(ctx, targets, func(mark string) { _ = say.Encode(childMessage{Mark: mark}) })
	if err != nil {
		return err
	}
	return say.Encode(childMessage{Result: &result})
}

// RunProxyProcess is the whole of the baseline policy's process.
func RunProxyProcess(in io.Reader) error {
	debug.SetGCPercent(200) // as the scheduler has it
	runtime.GOMAXPROCS(1)
	b := bufio.NewReader(in)
	var plan ProxyPlan
	if err := json.NewDecoder(b).Decode(&plan); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	return ServeProxy(plan, in)
}
