package metrics

import (
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"valvecove/internal/config"
	"valvecove/internal/modeltest/observertest"
	"valvecove/internal/requests"
)

var names = requests.NameTable{
	Tenants: []string{"khyber-society", "mardan-society"},
	Classes: []string{"status-check", "account-credit"},
}

// batchTarget is a target that stores its batches.
type batchTarget struct {
	batches []string
	failing bool
}

func (b *batchTarget) Send(batch []byte) error {
	if b.failing {
		return errors.New("target is failing")
	}
	b.batches = append(b.batches, string(batch))
	return nil
}

func (b *batchTarget) text() string { return strings.Join(b.batches, "") }

func (b *batchTarget) lines() []string {
	return strings.Split(strings.TrimSuffix(b.text(), "\n"), "\n")
}

// fixture is a request table with counters and an exporter as observers.
type fixture struct {
	*observertest.Fixture
	counters *Counters
	exporter *Exporter
	target   *batchTarget
}

func newFixture(tb testing.TB, conf config.Metrics, names requests.NameTable) *fixture {
	tb.Helper()
	f := &fixture{
		Fixture:  observertest.New(tb, names, slog.New(slog.DiscardHandler)),
		counters: NewCounters(names),
		target:   &batchTarget{},
	}
	f.exporter = NewExporter(conf, f.counters, func() time.Duration { return f.Now }, f.target)
	f.Table.AddObserver(f.counters)
	f.Table.AddObserver(f.exporter)
	return f
}

// flush sends all metrics. The target then contains only the batches of this flush.
func (f *fixture) flush() {
	f.target.batches = nil
	f.exporter.Gather()
	for f.exporter.Send(1) {
	}
}
