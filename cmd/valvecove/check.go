package main

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/link"
	"valvecove/internal/server"
)

type check struct {
	Platform string `name:"platform" placeholder:"FILE" help:"The platform's file, in place of the one that PROXY_CONFIG names."`
}

// Help is what its help adds.
func (check) Help() string {
	return `It reads the platform's file, with PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY for keys that this lacks, and
the operators' file. It writes nothing, connects to nothing, and does not try whether the addresses are free. Faults
go to standard error, each with its file and key.

Exit codes:

    0  both are sound, and what serve would do is on standard output
    1  there are faults
    2  the command line makes no sense`
}

func (c *check) run(p process) int {
	env := p.env
	if c.Platform != "" {
		env = func(name string) string {
			if name == "PROXY_CONFIG" {
				return c.Platform
			}
			return p.env(name)
		}
	}
	conf, ops, faults := config.LoadAll(env, p.config)
	faults = append(faults, missing(ops, p.config)...)
	for _, f := range faults {
		p.fault("valvecove check", f)
	}
	if len(faults) > 0 {
		return exitFault
	}
	if err := preview(p.stdout, conf, ops, env("PROXY_CONFIG"), p.config); err != nil {
		p.fault("valvecove check", err)
		return exitFault
	}
	return exitDone
}

// missing says which files and folders of features a start would not get, by looking only.
func missing(ops config.Ops, file string) (faults []error) {
	fault := func(key string, err error) {
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: key %q: %w", file, key, err))
		}
	}
	if ops.Capture != nil && ops.Capture.Dir != "" {
		fault("capture.dir", writable(ops.Capture.Dir, true))
	}
	if ops.Metrics != nil && ops.Metrics.File != "" {
		err := writable(ops.Metrics.File, false)
		if errors.Is(err, os.ErrNotExist) { // it would be made
			err = writable(filepath.Dir(ops.Metrics.File), true)
		}
		fault("figures.file", err)
	}
	return faults
}

func writable(path string, folder bool) error {
	is, err := os.Stat(path)
	switch {
	case err != nil:
		return err
	case folder && !is.IsDir():
		return fmt.Errorf("%s is no folder", path)
	case !folder && is.IsDir():
		return fmt.Errorf("%s is a folder", path)
	}
	if err := unix.Access(path, unix.W_OK); err != nil {
		return fmt.Errorf("writing to %s: %w", path, err)
	}
	return nil
}

// page is a page of text in columns.
type page struct{ to *tabwriter.Writer }

func (p page) line(columns ...string) { fmt.Fprintln(p.to, strings.Join(columns, "\t")) }

// preview says what a scheduler with this configuration would do.
func preview(to io.Writer, c config.Config, ops config.Ops, platform, ours string) error {
	p := page{tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)}
	p.line("platform", platform)
	p.line("ours", or(ours, "none, so that all features are off"))
	p.line("name", or(c.Name, "none"))
	p.line("listen", c.Listen.String())
	if c.Management.IsValid() {
		p.line("management", c.Management.String()+", see docs/on-call.md; what outlives the process is in "+or(c.StateDir, "no directory, as TMPDIR is not set"))
	}
	watch := "whose list is pushed, and watched there"
	if c.Settings.MustSubscribe {
		watch = "subscribed to"
	}
	p.line("discovery", c.Discovery.String()+", "+watch)
	if n := len(c.KnownEndpoints.Endpoints); n > 0 {
		p.line("known", fmt.Sprintf("%d worker nodes, generation %d", n, c.KnownEndpoints.Revision))
	} else {
		p.line("known", "no worker nodes: not ready until discovery answers")
	}
	s := link.SharesOf(c, ops)
	p.line("limits", fmt.Sprintf("%v cores, %d MB, %d descriptors", c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets))
	p.line("descriptors", fmt.Sprintf("%d its own, %d for features, %d server links, %d client links (%d queries at once)",
		s.Own, s.Features, s.Workers, s.Clients, s.Requests))
	p.line("memory", fmt.Sprintf("heap held to %d MB; client links' buffers %d MB, bodies of queries %d MB",
		server.HeapLimit(c.Limits)>>20, s.Buffers>>20, s.Buffers>>20))
	p.line("attempts", fmt.Sprintf("%d a query at most, connecting within %v, second copies %s, cancelling %s, probes %s",
		c.Settings.AttemptLimit, c.Settings.ConnectTimeout, onOff(c.Settings.Hedging), onOff(c.Settings.Cancellation),
		onOff(c.Settings.HealthChecks)))
	p.line("schedulers", fmt.Sprintf("number %d of %d, numbered from 0", c.Settings.ReplicaIndex, max(1, c.Settings.Replicas)))
	p.line("stop", fmt.Sprintf("%v after SIGTERM", server.KillDelay(c.Settings)))
	p.line("log", log(ops.Log))
	p.line()
	p.line("class", "effect", "aim", "stretch", "deadline", "worth", "late", "kinds", "zones")
	for i, k := range c.Settings.Classes {
		p.line(c.Settings.Names.Classes[i], effect(k), k.LatencyObjective.String(), number(k.ObjectiveStretch), k.ClientTimeout.String(), number(k.PriorityWeight),
			number(k.LateValue), names(k.Kinds, c.Settings.Names.MachineTypes), names(k.Zones, c.Settings.Names.Zones))
	}
	p.line()
	p.line("tenant", "quota a second")
	for i, name := range c.Settings.Names.Tenants {
		quota := "no limit"
		if c.Settings.TenantQuota[i] > 0 {
			quota = number(c.Settings.TenantQuota[i])
		}
		p.line(name, quota)
	}
	if len(c.Settings.Names.Tenants) == 0 {
		p.line("none", "queries need not name one")
	}
	p.line()
	p.line("feature")
	p.features(c, ops)
	return p.to.Flush()
}

func (p page) features(c config.Config, ops config.Ops) {
	what := map[string]string{}
	if f := ops.Status; f != nil {
		what["status"] = fmt.Sprintf("at %v, ended jobs kept for %v, %d at most", ops.StatusAddr(c), f.Retention, f.MaxEntries)
	}
	if f := ops.Capture; f != nil && f.Dir != "" {
		what["capture"] = fmt.Sprintf("in %s, %d files of %d MB", f.Dir, f.Files, f.FileMB)
	} else if f != nil {
		what["capture"] = fmt.Sprintf("a ring of %d KB, written on SIGUSR1", f.MemoryKB)
	}
	if f := ops.Metrics; f != nil {
		var to []string
		if f.UDPTarget.IsValid() {
			to = append(to, "by UDP to "+f.UDPTarget.String())
		}
		if f.File != "" {
			to = append(to, "to "+f.File)
		}
		what["figures"] = fmt.Sprintf("%s every %v %s, batches under %d bytes", f.Format, f.FlushInterval,
			or(strings.Join(to, " and "), "to standard error"), f.MaxBatchBytes)
	}
	if f := ops.Addresses; f != nil {
		what["addresses"] = fmt.Sprintf("allow %s, deny %s, trusted fronts %s", ranges(f.Allow, "everyone"),
			ranges(f.Deny, "nobody"), ranges(f.TrustedProxies, "none"))
	}
	if f := ops.Aperture; f != nil {
		what["aperture"] = fmt.Sprintf("%d worker nodes at least, each at %d schedulers at least, up to %s times as many under "+
			"load; fleets under %d whole", f.MinWorkers, f.Coverage, number(f.MaxWidening), f.MinFleet)
		switch {
		case c.Settings.Replicas < 2:
			what["aperture"] = "nothing to do, as there is one scheduler"
		case !f.Enabled(c.Settings.Replicas):
			what["aperture"] = fmt.Sprintf("off, as there are %d schedulers, and it is from %d on", c.Settings.Replicas, f.MinSchedulers)
		}
	}
	for _, name := range []string{"status", "capture", "figures", "addresses", "aperture"} {
		p.line(name, or(what[name], "off"))
	}
}

func or(text, without string) string {
	if text == "" {
		return without
	}
	return text
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

func number(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

func log(l config.Log) string {
	form := "text"
	if l.JSON {
		form = "json"
	}
	return form + ", " + strings.ToLower(l.Level.String()) + " and above"
}

// effect says what running a query of the class twice does.
func effect(c dispatch.Class) string {
	switch c.Idempotency {
	case dispatch.Idempotent:
		return "pure"
	case dispatch.IdempotentWithKey:
		within := [...]string{dispatch.ScopeCell: "cell", dispatch.ScopeZone: "zone", dispatch.ScopeAll: "all"}[c.DeduplicationScope]
		return fmt.Sprintf("token (%s, %v)", within, c.DeduplicationWindow.Round(time.Millisecond))
	}
	return "never twice"
}

// names gives the words for indices; one without a word stays a number.
func names(indices []int, words []string) string {
	if indices == nil {
		return "any"
	}
	var list []string
	for _, i := range indices {
		if i >= 0 && i < len(words) {
			list = append(list, words[i])
		} else {
			list = append(list, strconv.Itoa(i))
		}
	}
	slices.Sort(list)
	return or(strings.Join(list, ","), "none")
}

func ranges(list []netip.Prefix, without string) string {
	var texts []string
	for _, r := range list {
		texts = append(texts, r.String())
	}
	return or(strings.Join(texts, " "), without)
}
