package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os/exec"
	"strconv"

	"valvecove/internal/testbed/checker"
	"valvecove/internal/testbed/report"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/score"
)

// Bounds on what is kept of another build's output.
const (
	maxOutputBytes = 64 << 20
	maxErrorBytes  = 64 << 10
)

// runOtherBuild has another build's valvecove-testbed run a job. The scenario goes over as text, with changes made, so that
// both builds run the same; the figures come back as JSON. The verdict is that of the other build's checker.
func runOtherBuild(ctx context.Context, job Job) (*RunResult, error) {
	spec, err := ApplyChanges(job.Spec, job.Subject.Set)
	if err != nil {
		return nil, err
	}
	if job.Driver != scenario.DriverSimulation {
		return nil, fmt.Errorf("%s: another build's testbed runs in virtual time only; for real processes, name its scheduler", job.Subject.Name)
	}
	args := []string{"play", "-", "--driver", scenario.DriverSimulation, "--seed", strconv.FormatUint(job.Seed, 10), "--json", "-"}
	if job.Subject.Policy != "" {
		args = append(args, "--policy", job.Subject.Policy)
	}
	cmd := exec.CommandContext(ctx, job.Subject.Testbed, args...)
	cmd.Stdin = bytes.NewReader(scenario.Encode(spec))
	stdout, stderr := &boundedBuffer{limit: maxOutputBytes}, &boundedBuffer{limit: maxErrorBytes}
	cmd.Stdout, cmd.Stderr = stdout, stderr
	// A run that did not go as expected exits with 1, and has its figures all the same.
	if err := cmd.Run(); err != nil && cmd.ProcessState.ExitCode() != 1 {
		return nil, fmt.Errorf("%s: %w: %s", job.Subject.Testbed, err, bytes.TrimSpace(stderr.Bytes()))
	}
	var output struct { // expectations are for that build to hold its run to
		Result  *score.Result   `json:"result"`
		Verdict *report.Verdict `json:"verdict"`
	}
	if err := json.Unmarshal(stdout.Bytes(), &output); err != nil {
		return nil, fmt.Errorf("%s: its figures can't be read: %w", job.Subject.Testbed, err)
	}
	if output.Result == nil {
		return nil, fmt.Errorf("%s: it told no figures", job.Subject.Testbed)
	}
	p := &RunResult{Document: report.Document{Result: output.Result, Verdict: output.Verdict, Build: job.Subject.Name}}
	if v := output.Verdict; v != nil {
		p.Verdict.Invalid = v.Invalid
		p.Verdict.Rules = []checker.RuleCount{{Rule: "all", Violated: v.Total()}}
	}
	return p, nil
}

// boundedBuffer keeps what is written to it up to a limit, and discards what follows.
type boundedBuffer struct {
	bytes.Buffer
	limit int
}

func (b *boundedBuffer) Write(p []byte) (int, error) {
	if space := b.limit - b.Len(); space > 0 {
		b.Buffer.Write(p[:min(space, len(p))])
	}
	return len(p), nil
}
