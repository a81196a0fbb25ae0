package main

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/limits"
	"valvecove/internal/server"
)

// configFiles contains the paths of both configuration files.
type configFiles struct {
	platform string
	ops      string // empty: none
}

// preview writes a page of text in columns that describes what serve would do with a configuration.
type preview struct {
	conf   config.Config
	ops    config.Ops
	writer *tabwriter.Writer
}

// writePreview writes the page of a valid configuration.
func writePreview(w io.Writer, files configFiles, conf config.Config, ops config.Ops) error {
	page := preview{conf: conf, ops: ops, writer: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	page.writeLine("platform", files.platform)
	page.writeLine("ours", orDefault(files.ops, "none, so that all features are off"))
	page.addresses()
	page.limits()
	page.dispatching()
	page.writeLine()
	page.classes()
	page.writeLine()
	page.tenants()
	page.writeLine()
	page.features()
	return page.writer.Flush()
}

// writeLine writes a line of the page.
func (p *preview) writeLine(columns ...string) { fmt.Fprintln(p.writer, strings.Join(columns, "\t")) }

// addresses writes the scheduler's name, and the addresses at which it listens and to which it connects.
func (p *preview) addresses() {
	p.writeLine("name", orDefault(p.conf.Name, "none"))
	p.writeLine("listen", p.conf.Listen.String())
	if p.conf.Management.IsValid() {
		stateDir := orDefault(p.conf.StateDir, "no directory, as TMPDIR is not set")
		p.writeLine("management", p.conf.Management.String()+", see docs/on-call.md; what outlives the process is in "+stateDir)
	}
	watch := "whose list is pushed, and watched there"
	if p.conf.Settings.MustSubscribe {
		watch = "subscribed to"
	}
	p.writeLine("discovery", p.conf.Discovery.String()+", "+watch)
	if workers := len(p.conf.KnownEndpoints.Endpoints); workers > 0 {
		p.writeLine("known", fmt.Sprintf("%d workers, revision %d", workers, p.conf.KnownEndpoints.Revision))
	} else {
		p.writeLine("known", "no workers: not ready until discovery answers")
	}
}

// limits writes how the scheduler divides its descriptors and memory.
func (p *preview) limits() {
	const bytesPerMBShift = 20
	configured := p.conf.Limits
	shares := limits.SharesOf(p.conf, p.ops)
	p.writeLine("limits", fmt.Sprintf("%v cores, %d MB, %d descriptors", configured.Cores, configured.MemoryMB, configured.Sockets))
	p.writeLine("descriptors", fmt.Sprintf("%d its own, %d for features, %d worker connections, %d client connections (%d requests at once)",
		shares.OwnDescriptors, shares.FeatureDescriptors, shares.WorkerConnections, shares.ClientConnections, shares.OpenRequests))
	p.writeLine("memory", fmt.Sprintf("heap held to %d MB; buffers of client connections %d MB, bodies of requests and waiting responses %d MB",
		server.HeapLimit(configured, false)>>bytesPerMBShift, shares.BufferBytes>>bytesPerMBShift, 2*shares.BufferBytes>>bytesPerMBShift))
}

// dispatching writes the limits of attempts, the scheduler's index among its replicas, the duration of its drain, and its log
// format.
func (p *preview) dispatching() {
	settings := p.conf.Settings
	p.writeLine("attempts", fmt.Sprintf("%d a request at most, connecting within %v, hedging %s, cancellation %s, health checks %s",
		settings.AttemptLimit, settings.ConnectTimeout, onOrOff(settings.Hedging), onOrOff(settings.Cancellation),
		onOrOff(settings.HealthChecks)))
	p.writeLine("schedulers", fmt.Sprintf("number %d of %d, numbered from 0", settings.ReplicaIndex, max(1, settings.Replicas)))
	p.writeLine("stop", fmt.Sprintf("%v after SIGTERM", server.KillDelay(settings)))
	p.writeLine("log", describeLog(p.ops.Log))
}

// classes writes a table of the classes.
func (p *preview) classes() {
	names := p.conf.Settings.Names
	p.writeLine("class", "effect", "aim", "stretch", "deadline", "worth", "late", "kinds", "zones")
	for i, class := range p.conf.Settings.Classes {
		p.writeLine(names.Classes[i], describeIdempotency(class), class.LatencyObjective.String(), formatNumber(class.ObjectiveStretch),
			class.ClientTimeout.String(), formatNumber(class.PriorityWeight), formatNumber(class.LateValue),
			joinNames(class.Kinds, names.MachineTypes), joinNames(class.Zones, names.Zones))
	}
}

// tenants writes a table of the tenants.
func (p *preview) tenants() {
	p.writeLine("tenant", "quota a second")
	tenants := p.conf.Settings.Names.Tenants
	for i, name := range tenants {
		quota := "no limit"
		if p.conf.Settings.TenantQuota[i] > 0 {
			quota = formatNumber(p.conf.Settings.TenantQuota[i])
		}
		p.writeLine(name, quota)
	}
	if len(tenants) == 0 {
		p.writeLine("none", "requests need not name one")
	}
}

// features writes a table of all features, with the settings of those that the operators' file enables.
func (p *preview) features() {
	const off = "off"
	p.writeLine("feature")
	p.writeLine("status", orDefault(p.statusFeature(), off))
	p.writeLine("capture", orDefault(p.captureFeature(), off))
	p.writeLine("figures", orDefault(p.metricsFeature(), off))
	p.writeLine("addresses", orDefault(p.addressesFeature(), off))
	p.writeLine("aperture", orDefault(p.apertureFeature(), off))
	p.writeLine("gossip", orDefault(p.gossipFeature(), off))
}

func (p *preview) statusFeature() string {
	status := p.ops.Status
	if status == nil {
		return ""
	}
	return fmt.Sprintf("at %v, ended jobs kept for %v, %d at most", p.ops.StatusAddr(p.conf), status.Retention, status.MaxEntries)
}

func (p *preview) captureFeature() string {
	capture := p.ops.Capture
	switch {
	case capture == nil:
		return ""
	case capture.Dir != "":
		return fmt.Sprintf("in %s, %d files of %d MB", capture.Dir, capture.Files, capture.FileMB)
	}
	return fmt.Sprintf("a ring of %d KB, written on SIGUSR1", capture.MemoryKB)
}

func (p *preview) metricsFeature() string {
	metrics := p.ops.Metrics
	if metrics == nil {
		return ""
	}
	var targets []string
	if metrics.UDPTarget.IsValid() {
		targets = append(targets, "by UDP to "+metrics.UDPTarget.String())
	}
	if metrics.File != "" {
		targets = append(targets, "to "+metrics.File)
	}
	return fmt.Sprintf("%s every %v %s, batches under %d bytes", metrics.Format, metrics.FlushInterval,
		orDefault(strings.Join(targets, " and "), "to standard error"), metrics.MaxBatchBytes)
}

func (p *preview) addressesFeature() string {
	addresses := p.ops.Addresses
	if addresses == nil {
		return ""
	}
	return fmt.Sprintf("allow %s, deny %s, trusted fronts %s", joinPrefixes(addresses.Allow, "everyone"),
		joinPrefixes(addresses.Deny, "nobody"), joinPrefixes(addresses.TrustedProxies, "none"))
}

func (p *preview) apertureFeature() string {
	aperture := p.ops.Aperture
	replicas := p.conf.Settings.Replicas
	switch {
	case aperture == nil:
		return ""
	case replicas < 2:
		return "nothing to do, as there is one scheduler"
	case !aperture.Enabled(replicas):
		return fmt.Sprintf("off, as there are %d schedulers, and it is from %d on", replicas, aperture.MinSchedulers)
	}
	return fmt.Sprintf("%d workers at least, each at %d schedulers at least, up to %s times as many under "+
		"load; fleets under %d whole", aperture.MinWorkers, aperture.Coverage, formatNumber(aperture.MaxWidening), aperture.MinFleet)
}

// gossipFeature describes the exchange of leases between schedulers, or why it is disabled.
func (p *preview) gossipFeature() string {
	if p.ops.Gossip == nil {
		return ""
	}
	settings := p.conf.Settings
	p.ops.ApplyTo(&settings)
	peers := len(p.conf.Peers) - 1
	price := fmt.Sprintf("budget %s of the result, price %s for 256 bytes a job", formatNumber(p.ops.Gossip.Budget),
		formatNumber(settings.PeerCost))
	switch {
	case !p.conf.Settings.PeerMessages:
		return "off, as the platform's file does not allow it, or has no addresses"
	case settings.Replicas < 2:
		return "nothing to do, as there is one scheduler"
	case !settings.StartNotifications:
		return "off, as workers notify of no starts"
	case !settings.UsesLeases():
		return "off, as messages would cost more than they may: " + price
	}
	return fmt.Sprintf("leases of slots, at %v with %d peers, %s", p.conf.PeerListen, peers, price)
}

// orDefault returns text, or fallback if text is empty.
func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

func onOrOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

func describeLog(log config.Log) string {
	format := "text"
	if log.JSON {
		format = "json"
	}
	return format + ", " + strings.ToLower(log.Level.String()) + " and above"
}

// describeIdempotency describes whether requests of the class may be executed twice, in the words of the platform's file where it
// has one.
func describeIdempotency(class dispatch.Class) string {
	switch class.Idempotency {
	case dispatch.Idempotent:
		return "pure"
	case dispatch.IdempotentWithKey:
		scopes := [...]string{dispatch.ScopeCell: "cell", dispatch.ScopeZone: "zone", dispatch.ScopeAll: "all"}
		return fmt.Sprintf("token (%s, %v)", scopes[class.DeduplicationScope], class.DeduplicationWindow.Round(time.Millisecond))
	}
	return "never twice"
}

// joinNames returns a sorted list of the names of indices. An index without a name is listed as a number.
func joinNames(indices []int, names []string) string {
	if indices == nil {
		return "any"
	}
	var list []string
	for _, i := range indices {
		if i >= 0 && i < len(names) {
			list = append(list, names[i])
		} else {
			list = append(list, strconv.Itoa(i))
		}
	}
	slices.Sort(list)
	return orDefault(strings.Join(list, ","), "none")
}

func joinPrefixes(prefixes []netip.Prefix, whenEmpty string) string {
	var texts []string
	for _, prefix := range prefixes {
		texts = append(texts, prefix.String())
	}
	return orDefault(strings.Join(texts, " "), whenEmpty)
}
