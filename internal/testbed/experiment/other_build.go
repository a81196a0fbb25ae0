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

// Limits on how much of another build's output is kept.
const (
	maxOutputBytes = 64 << 20
	maxErrorBytes  = 64 << 10
)

// runOtherBuild runs a job with another build's valvecove-testbed. It passes the scenario as text, with the subject's changes
// made, so that both builds run the same scenario, and reads the figures as JSON. The verdict is that of the other build's
// checker.
func runOtherBuild(ctx context.Context, job Job) (*RunResult, error) {
	spec, err := ApplyChanges(job.Spec, job.Subject.Set)
	if err != nil {
		return nil, err
	}
	if job.Driver != scenario.DriverSimulation {
		return nil, fmt.Errorf("%s: another build's testbed runs simulations only; for real processes, name its scheduler's program instead", job.Subject.Name)
	}
	args := []string{"play", "-", "--driver", scenario.DriverSimulation, "--seed", strconv.FormatUint(job.Seed, 10), "--json", "-"}
	if job.Subject.Policy != "" {
		args = append(args, "--policy", job.Subject.Policy)
	}
	cmd := exec.CommandContext(ctx, job.Subject.Testbed, args...)
	cmd.Stdin = bytes.NewReader(scenario.Encode(spec))
	stdout, stderr := &boundedBuffer{limit: maxOutputBytes}, &boundedBuffer{limit: maxErrorBytes}
	cmd.Stdout, cmd.Stderr = stdout, stderr
	// Exit code 1 means that a rule was broken or an expectation not met; the figures are written all the same.
	if err := cmd.Run(); err != nil && cmd.ProcessState.ExitCode() != 1 {
		return nil, fmt.Errorf("%s: %w: %s", job.Subject.Testbed, err, bytes.TrimSpace(stderr.Bytes()))
	}
	var output struct { // without the expectations, which the other build has checked
		Result  *score.Result   `json:"result"`
		Verdict *report.Verdict `json:"verdict"`
	}
	if err := json.Unmarshal(stdout.Bytes(), &output); err != nil {
		return nil, fmt.Errorf("%s: parsing its figures: %w", job.Subject.Testbed, err)
	}
	if output.Result == nil {
		return nil, fmt.Errorf("%s: its output has no figures", job.Subject.Testbed)
	}
	result := &RunResult{Document: report.Document{Result: output.Result, Verdict: output.Verdict, Build: job.Subject.Name}}
	if verdict := output.Verdict; verdict != nil {
		result.Verdict.Invalid = verdict.Invalid
		result.Verdict.Rules = []checker.RuleCount{{Rule: "all", Violated: verdict.Total()}}
	}
	return result, nil
}

// boundedBuffer keeps what is written to it up to a limit, and discards the rest.
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
