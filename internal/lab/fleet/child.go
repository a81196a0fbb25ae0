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

// The words between a play and the process that its rig runs in: one JSON value a line each way. The play says Spec and
// then targets; the rig says news. The end of what the play says ends the rig.
type news struct {
	Places *Places `json:"places,omitempty"` // it is up
	Mark   string  `json:"mark,omitempty"`
	Result *Result `json:"result,omitempty"` // its last word
	Fault  string  `json:"fault,omitempty"`  // or that
}

// RigProcess is the whole of a rig's process.
func RigProcess(in io.Reader, out io.Writer) error {
	debug.SetGCPercent(400) // much is left behind and little held
	say := json.NewEncoder(out)
	if err := rigProcess(bufio.NewReader(in), say); err != nil {
		_ = say.Encode(news{Fault: err.Error()})
		return err
	}
	return nil
}

func rigProcess(in *bufio.Reader, say *json.Encoder) error {
	hear := json.NewDecoder(in)
	var spec Spec
	if err := hear.Decode(&spec); err != nil {
		return fmt.Errorf("spec: %w", err)
	}
	runtime.GOMAXPROCS(len(spec.Cores) + 2) // each engine has a processor of the runtime's, whatever else goes on
	r, err := NewRig(spec)
	if err != nil {
		return err
	}
	defer r.Close()
	places := r.Places()
	if err := say.Encode(news{Places: &places}); err != nil {
		return err
	}
	var targets []netip.AddrPort
	if err := hear.Decode(&targets); err != nil {
		return fmt.Errorf("targets: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		_ = hear.Decode(&struct{}{}) // nothing more is said
		cancel()
	}()
	result, err := r.Play(ctx, targets, func(mark string) { _ = say.Encode(news{Mark: mark}) })
	if err != nil {
		return err
	}
	return say.Encode(news{Result: &result})
}

// ProxyProcess is the whole of the yardstick's process.
func ProxyProcess(in io.Reader) error {
	debug.SetGCPercent(200) // as the scheduler has it
	runtime.GOMAXPROCS(1)
	b := bufio.NewReader(in)
	var plan ProxyPlan
	if err := json.NewDecoder(b).Decode(&plan); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	return ServeProxy(plan, in)
}
