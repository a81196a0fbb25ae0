package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os/exec"
	"strconv"

	"valvecove/internal/lab/judge"
	"valvecove/internal/lab/report"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/score"
)

// most of another build's output that is taken in.
const mostElsewhere = 64 << 20

// runElsewhere has another build's covelab play a job. The scenario goes over as text, changes made, so that both
// builds play the same; the figures come back as JSON. Its judge's word on rules is taken as it is.
func runElsewhere(ctx context.Context, job Job) (*Played, error) {
	spec, err := Change(job.Spec, job.Subject.Set)
	if err != nil {
		return nil, err
	}
	if job.Driver != scenario.Virtual {
		return nil, fmt.Errorf("%s: another build's lab plays in virtual time only; live, name its scheduler", job.Subject.Name)
	}
	args := []string{"play", "-", "--driver", scenario.Virtual, "--seed", strconv.FormatUint(job.Seed, 10), "--json", "-"}
	if job.Subject.Policy != "" {
		args = append(args, "--policy", job.Subject.Policy)
	}
	cmd := exec.CommandContext(ctx, job.Subject.Lab, args...)
	cmd.Stdin = bytes.NewReader(scenario.Encode(spec))
	out, errs := &bounded{most: mostElsewhere}, &bounded{most: 64 << 10}
	cmd.Stdout, cmd.Stderr = out, errs
	// A play that did not go as expected exits with 1, and has its figures all the same.
	if err := cmd.Run(); err != nil && cmd.ProcessState.ExitCode() != 1 {
		return nil, fmt.Errorf("%s: %w: %s", job.Subject.Lab, err, bytes.TrimSpace(errs.Bytes()))
	}
	var told struct { // expectations are for that build to hold its play to
		Result  *score.Result   `json:"result"`
		Verdict *report.Verdict `json:"verdict"`
	}
	if err := json.Unmarshal(out.Bytes(), &told); err != nil {
		return nil, fmt.Errorf("%s: its figures can't be read: %w", job.Subject.Lab, err)
	}
	if told.Result == nil {
		return nil, fmt.Errorf("%s: it told no figures", job.Subject.Lab)
	}
	p := &Played{Doc: report.Doc{Result: told.Result, Verdict: told.Verdict, Build: job.Subject.Name}}
	if v := told.Verdict; v != nil {
		p.Judged.Void = v.Void
		p.Judged.Rules = []judge.Tally{{Rule: "all", Broken: v.Total()}}
	}
	return p, nil
}

// bounded keeps so much of what is written to it, and takes the rest in unread.
type bounded struct {
	bytes.Buffer
	most int
}

func (b *bounded) Write(p []byte) (int, error) {
	if room := b.most - b.Len(); room > 0 {
		b.Buffer.Write(p[:min(room, len(p))])
	}
	return len(p), nil
}
