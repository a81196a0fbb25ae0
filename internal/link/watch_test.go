package link

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/discovery"
	"valvecove/internal/steps"
)

const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// newWatchedWorld is a world whose watch has been asked for, and discovery's side of it.
func newWatchedWorld(t *testing.T) (*world, *peer) {
	w := newWorld(&steps.Steps{T: t})
	w.loop.Ledger.WatchEndpoints()
	w.turn()
	p := w.dialed[0]
	p.read(1 << 12)
	w.module.Heard = nil
	return w, p
}

// lists are the generations of the lists that the module was told, -1 for a lost one.
func (w *world) lists() (all []int64) {
	for _, e := range w.module.Heard {
		if list, ok := e.(dispatch.WorkerList); ok && list.Kind == dispatch.ListUnavailable {
			all = append(all, -1)
		} else if ok {
			all = append(all, list.Revision)
		}
	}
	w.module.Heard = nil
	return all
}

// News is read in any form of JSON: on a line or indented over several, with line ends between or none, in one piece or
// byte by byte, each in a chunk of its own. It is told once its last brace has come.
func TestWatchReadsAnyEventLayout(t *testing.T) {
	const host = `{"instanceId":"s-}{\"]\\","hostPort":"127.0.0.1:1","lifecycle":"up"}`
	for name, text := range map[string]string{
		"lines":       `{"generation":1,"reset":true,"instances":[` + host + "]}\n" + `{"generation":2,"instances":[]}` + "\n",
		"indented":    "{\n  \"generation\": 1,\n  \"reset\": true,\n  \"instances\": [\n    " + host + "\n  ]\n}\n{\n\t\"generation\": 2\n}\n",
		"CRLF":        "{\r\n\"generation\": 1,\r\n\"instances\": [" + host + "]}\r\n\r\n  {\r\n\"generation\": 2}\r\n",
		"no line end": `{"generation":1,"instances":[` + host + `]}{"generation":2}`,
	} {
		for _, size := range []int{len(text), 7, 1} {
			w, p := newWatchedWorld(t)
			p.write([]byte(watchHead))
			for at := 0; at < len(text); at += size {
				p.write([]byte(chunk(text[at:min(at+size, len(text))])))
				if size > 1 || at%16 == 0 { // so that the socket never fills
					w.turn()
				}
			}
			w.turn()
			if got := fmt.Sprint(w.lists()); got != "[1 2]" {
				t.Errorf("%s, %d bytes a chunk: told %v", name, size, got)
			}
		}
	}
}

// What can't be read ends the watch at once; half an object, and then silence, ends it when a line was due; and one without
// end is not kept without end.
func TestWatchRejectsMalformedEvents(t *testing.T) {
	for name, text := range map[string]string{"brace": "}\n", "word": "generation\n", "mixed": "{\"generation\":1]\n", "array": "[]\n"} {
		w, p := newWatchedWorld(t)
		p.write([]byte(watchHead + chunk(text)))
		w.turn()
		if got := fmt.Sprint(w.lists()); got != "[-1]" {
			t.Errorf("%s: told %v", name, got)
		}
	}
	w, p := newWatchedWorld(t)
	p.write([]byte(watchHead + chunk("\n")))
	w.turn()
	w.now += 2 * time.Second
	p.write([]byte(chunk("{\n\"generation\":1,\n")))
	w.turn()
	if w.now += time.Second - 1; fmt.Sprint(w.lists()) != "[]" {
		t.Error("lost before a line was due")
	}
	w.turn()
	w.now++
	if w.turn(); fmt.Sprint(w.lists()) != "[-1]" {
		t.Error("half an object keeps a silent watch")
	}
	w, p = newWatchedWorld(t)
	p.write([]byte(watchHead + chunk("{\"a\":\"")))
	many := []byte(chunk(strings.Repeat("x", 32<<10)))
	for n := 0; n < maxEventSize/(32<<10)+2 && w.loop.watch.open; n++ {
		for left := many; len(left) > 0 && w.loop.watch.open; left = left[min(len(left), 4<<10):] {
			p.write(left[:min(len(left), 4<<10)])
			w.turn()
		}
	}
	if got := fmt.Sprint(w.lists()); got != "[-1]" {
		t.Errorf("an object without end: told %v, %d bytes kept", got, len(w.loop.watch.scanner.object))
	}
}

// A watch that has fallen silent is opened anew, without anybody's asking, while what it missed does not yet count as told,
// however many schedulers there are; from the list at hand on; and what comes late on the one before is not heard.
func TestSilentWatchReconnects(t *testing.T) {
	for _, callers := range []int{1, 300} {
		w := newWorld(&steps.Steps{T: t})
		w.loop.watch = w.loop.newWatchConnection(netip.AddrPort{}, discovery.Config{PollInterval: 10 * time.Second, Schedulers: callers},
			func(n int64) int64 { return n - 1 }) // the latest that may be drawn
		w.loop.Ledger.WatchEndpoints()
		w.turn()
		first := w.dialed[0]
		first.write([]byte(watchHead + chunk(`{"generation":7,"instances":[]}`+"\n")))
		w.turn()
		w.now += 3 * time.Second
		w.turn()
		if first.read(1 << 12); !first.ended || fmt.Sprint(w.lists()[1:]) != "[7 -1]" {
			t.Error("not taken for broken after 3 s")
		}
		first.write([]byte(chunk(`{"generation":8}` + "\n")))
		w.now += 2 * time.Second // 5 s after the last line
		if w.turn(); len(w.dialed) != 2 {
			t.Fatalf("%d callers: %d calls by 5 s after the last line", callers, len(w.dialed))
		}
		w.dialed[1].read(1 << 12)
		if got := string(w.dialed[1].got); !strings.HasPrefix(got, "GET /discovery/hosts?stream=1&index=7 ") {
			t.Errorf("asked %q", got)
		}
		w.module.Next = append(w.module.Next, dispatch.Subscribe{}) // the module's own call, late: the list is followed
		w.loop.Ledger.DiscoveryFailed()
		if w.turn(); len(w.dialed) != 2 {
			t.Error("a call beside one that is out")
		}
		w.dialed[1].write([]byte(watchHead + chunk(`{"generation":9}`)))
		if w.turn(); fmt.Sprint(w.lists()) != "[-1 9]" {
			t.Error("the new watch is not heard")
		}
	}
}

// Calls that are refused, answered with an error, or not at all are made again, by themselves, at waits that have a bound.
func TestFailedConnectionsAreRetried(t *testing.T) {
	for name, answer := range map[string]string{"503": "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "reset": "", "hang": "-"} {
		w, _ := newWatchedWorld(t)
		for n := 1; n <= 12; n++ {
			p := w.dialed[n-1]
			p.read(1 << 12)
			span := 2 * time.Second
			switch answer {
			case "":
				p.close()
			case "-":
				span += 4 * time.Second
			default:
				p.write([]byte(answer))
			}
			for until := w.now + span; w.now < until && len(w.dialed) == n; w.now += 50 * time.Millisecond {
				w.turn()
			}
			if w.turn(); len(w.dialed) != n+1 {
				t.Fatalf("%s: after %d calls none within %v", name, n, span)
			}
		}
	}
}
