package server

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// listenForMetrics returns a UDP socket that receives metrics.
func listenForMetrics(t *testing.T, at string) net.PacketConn {
	t.Helper()
	l, err := net.ListenPacket("udp", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// awaitBatch reads batches until one contains a text. Each must have less than maxBytes, and no line feed at its end.
func awaitBatch(t *testing.T, from net.PacketConn, want string, maxBytes int) {
	t.Helper()
	b := make([]byte, 1<<16)
	for {
		n, _, err := from.ReadFrom(b)
		if err != nil {
			t.Fatal(err)
		}
		if n >= maxBytes || bytes.HasSuffix(b[:n], []byte("\n")) {
			t.Errorf("batch of %d bytes: %q", n, b[:n])
		}
		if bytes.Contains(b[:n], []byte(want)) {
			return
		}
	}
}

// serve submits a job and serves it as the worker.
func (w *processWithWorker) serve(id string) {
	answer := w.submit(id)
	w.accept()
	w.callBack(`{"id":"` + id + `","from":"s-1","state":"started"}`)
	w.callBack(`{"id":"` + id + `","from":"s-1","state":"done","result":"booked"}`)
	if status, text := readResponse(w.T, answer); status != "200" || text != "booked" {
		w.Errorf("%s: %s %s, expected 200 booked", id, status, text)
	}
}

const servedLine = "valvecove.jobs:1|c|#tenant:swat-society,class:a,outcome:served"

// A collector receives the metrics of each job. After it is closed, jobs are still served, and the lost batches are counted in
// the metrics file. When it is open again, it receives metrics again.
func TestMetricsByUDP(t *testing.T) {
	l, file := listenForMetrics(t, "127.0.0.1:0"), filepath.Join(t.TempDir(), "figures")
	w := startWithWorker(t, "[figures]\nflush_ms = 10\nmax_batch_bytes = 300\nudp_target = '"+l.LocalAddr().String()+"'\nfile = '"+file+"'")
	w.serve("1")
	awaitBatch(t, l, servedLine, 300)
	at := l.LocalAddr().String()
	_ = l.Close()
	for n, text := 2, []byte{}; !bytes.Contains(text, []byte("valvecove.figures_send_errors:")); n++ {
		w.serve(strconv.Itoa(n))
		var err error
		if text, err = os.ReadFile(file); err != nil {
			t.Fatal(err)
		}
	}
	l = listenForMetrics(t, at)
	awaitBatch(t, l, "valvecove.open:0|g|#tenant:swat-society,class:a", 300)
	w.stop()
}

// Pending metrics are written when the process ends: to both a file and a collector if these are configured, or to the log.
func TestMetricsAreFlushedAtEnd(t *testing.T) {
	file := filepath.Join(t.TempDir(), "figures")
	l := listenForMetrics(t, "127.0.0.1:0")
	w := startWithWorker(t, "[figures]\nflush_ms = 3600000\nfile = '"+file+"'\nudp_target = '"+l.LocalAddr().String()+"'")
	w.serve("1")
	w.stop()
	text, err := os.ReadFile(file)
	if err != nil || strings.Count(string(text), servedLine+"\n") != 1 {
		t.Errorf("error %v, file %q, expected one line for the served job", err, text)
	}
	awaitBatch(t, l, servedLine, 1400)
	w = startWithWorker(t, "[figures]\nflush_ms = 3600000")
	w.serve("1")
	w.stop()
	w.awaitLogLine(servedLine)
}

// If the metrics file can't be opened, the start fails with the configuration key.
func TestMetricsFileCannotBeOpened(t *testing.T) {
	s := &process{T: t, configPath: t.TempDir() + "/config.json", opsPath: t.TempDir() + "/ops.toml"}
	s.configure(testConfig)
	s.write(s.opsPath, "[figures]\nfile = '"+t.TempDir()+"/none/figures'")
	err := Run(func(name string) string { return map[string]string{"PROXY_CONFIG": s.configPath}[name] }, s.opsPath, os.Stderr)
	if err == nil || !strings.HasPrefix(err.Error(), `key "figures.file"`) {
		t.Error(err)
	}
}
