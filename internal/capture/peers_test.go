package capture

import (
	"bytes"
	"fmt"
	"log/slog"
	"reflect"
	"strings"
	"testing"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/filesystem"
	"valvecove/internal/storedform"
)

// goldenPeerMessages contains a message of each type, with a value in each field.
var goldenPeerMessages = []dispatch.PeerMessage{
	dispatch.LeaseRequest{
		ID: 7, Shard: dispatch.Shard{Zone: 1, Number: 2}, Class: 3, Demand: 1.5, Work: 0.1, LongProbability: 1.0 / 3, Demoted: true,
		PromoteIn: -5, Excluded: []uint64{1<<64 - 1, 2},
	},
	dispatch.LeaseStarted{ID: 7, Prompt: true},
	dispatch.LeaseReleased{ID: 1<<32 - 1, Result: dispatch.NotSent},
	dispatch.LeaseReport{Complete: true, Leases: []dispatch.HeldLease{{ID: 7, Worker: 1<<64 - 1, Demand: 0.0625, Started: true}}},
	dispatch.LeaseGranted{ID: 7, Worker: 1<<64 - 1, FreeSlots: -3},
	dispatch.LeaseQueued{ID: 7, FreeSlots: -3},
	dispatch.PeerRestarted{},
}

// goldenPeerLines returns the lines of goldenPeers: the first line of a segment, and then each message as one that was received
// and as one that was sent.
func goldenPeerLines() []Line {
	recorder := &Recorder{}
	lines := []Line{{Input: inputStart, Reason: reasonStart, PeerMessages: true, PeerBudget: 0.03, SnapshotWithLeases: []byte{1, 2, 3}}}
	for _, message := range goldenPeerMessages {
		lines = append(lines, recorder.eventLine(dispatch.PeerMessageReceived{From: 4, Message: message}),
			recorder.actionLine(dispatch.SendPeerMessage{To: 5, Message: message}))
	}
	return lines
}

func isPeerRestarted(message dispatch.PeerMessage) bool {
	_, ok := message.(dispatch.PeerRestarted)
	return ok
}

// Messages between schedulers are encoded as by the first build that recorded them, and decoding returns the original messages.
func TestGoldenPeerMessages(t *testing.T) {
	for _, message := range goldenPeerMessages {
		if unset := storedform.ZeroFields(message); len(unset) > 0 && !isPeerRestarted(message) {
			t.Errorf("fields without a value: %q", unset)
		}
	}
	recorder := &Recorder{}
	for _, line := range goldenPeerLines() {
		recorder.write(line)
	}
	storedform.CheckGolden(t, goldenPeers, recorder.lines)
	var read []dispatch.PeerMessage
	for text := range bytes.Lines(storedform.Golden(t, goldenPeers)) {
		var line Line
		if err := json.Unmarshal(text, &line); err != nil {
			t.Fatal(err)
		}
		switch {
		case line.Input == inputPeerMessage:
			read = append(read, line.event().(dispatch.PeerMessageReceived).Message)
		case line.Output == outputPeerMessage && !reflect.DeepEqual(line.action().(dispatch.SendPeerMessage).Message, read[len(read)-1]):
			t.Errorf("%s has another message than the line before", text)
		}
	}
	if !reflect.DeepEqual(read, goldenPeerMessages) {
		t.Errorf("decoded %+v", read)
	}
}

// platformOfPeer returns the platform's file of one of two schedulers that may exchange messages about leases.
func platformOfPeer(number int) string {
	return strings.NewReplacer(
		`"name":"n0"`, fmt.Sprintf(`"name":"n%d","peer_listen":"127.0.0.1:1","peers":["127.0.0.1:1","127.0.0.1:2"]`, number),
		`"settings":{`, fmt.Sprintf(`"settings":{"replicas_of_me":2,"me":%d,`, number),
		`"try_limit":6`, `"try_limit":6,"peers":true`,
		`"probe":0.004`, `"probe":0.004,"peer":0.2`,
	).Replace(platform)
}

// newPeers returns two schedulers that exchange messages about leases. One in 8 messages is lost. One in 200 of the others is
// preceded by a PeerRestarted, although the sender has not restarted.
func newPeers(t *testing.T, seed uint64, capture config.Capture) [2]*scheduler {
	t.Helper()
	var peers [2]*scheduler
	for number := range peers {
		peers[number] = newSchedulerWithPlatform(t, platformOfPeer(number), filesystem.Disk, slog.New(slog.DiscardHandler), seed+uint64(100*number), capture)
	}
	for number, sender := range peers {
		sender.Table.SendPeerMessage = func(to int, message dispatch.PeerMessage) {
			if to != 1-number {
				t.Errorf("scheduler %d sent a message to scheduler %d", number, to)
			}
			if sender.random.IntN(8) == 0 {
				return
			}
			messages := []dispatch.PeerMessage{message}
			if sender.random.IntN(200) == 0 {
				messages = append([]dispatch.PeerMessage{dispatch.PeerRestarted{}}, messages...)
			}
			peers[to].Table.AddPeerMessages(number, messages)
		}
	}
	return peers
}

// Captures of schedulers that exchange messages about leases replay without a difference.
func TestReplayOfPeerMessages(t *testing.T) {
	var text []byte
	for seed := range uint64(2) {
		peers := newPeers(t, seed, config.Capture{MemoryKB: 4 << 10})
		for range 300 {
			for _, peer := range peers {
				peer.runStep()
			}
		}
		for _, peer := range peers {
			dump := peer.recorder.Dump()
			if sends := checkReplaysWithoutDifference(t, dump); sends == 0 {
				t.Error("nothing was sent")
			}
			text = append(text, dump...)
		}
	}
	for _, kind := range []string{"request", "started", "released", "report", "granted", "queued"} {
		part := fmt.Sprintf(`"message":{"%s":`, kind)
		for _, direction := range []string{`"in":"message received"`, `"out":"message sent"`} {
			if !hasLine(text, direction, part) {
				t.Errorf("no message %s in a line with %s", kind, direction)
			}
		}
	}
	if !hasLine(text, `"in":"message received"`, `"message":{"restarted":`) {
		t.Error("no restart of a peer")
	}
}

// A segment that starts while leases are requested, granted and in use can be replayed without the segments before it.
func TestReplayOfLaterSegmentWithLeases(t *testing.T) {
	for seed := range uint64(2) {
		peers := newPeers(t, seed, config.Capture{MemoryKB: 256})
		for range 600 {
			for _, peer := range peers {
				peer.runStep()
			}
		}
		for _, peer := range peers {
			text := peer.recorder.Dump()
			if sends := checkReplaysWithoutDifference(t, text); sends == 0 || !bytes.Contains(text, []byte(reasonSegmentFull)) {
				t.Errorf("%d sends, or no segment after the first one", sends)
			}
		}
	}
}

// hasLine reports whether one line of a text contains all parts.
func hasLine(text []byte, parts ...string) bool {
	for line := range bytes.Lines(text) {
		missing := 0
		for _, part := range parts {
			if !bytes.Contains(line, []byte(part)) {
				missing++
			}
		}
		if missing == 0 {
			return true
		}
	}
	return false
}

// The replay reports a difference if a recorded message has another recipient or another value.
func TestReplayComparesPeerMessages(t *testing.T) {
	peers := newPeers(t, 1, config.Capture{MemoryKB: 4 << 10})
	for range 100 {
		for _, peer := range peers {
			peer.runStep()
		}
	}
	text := peers[0].recorder.Dump()
	for _, part := range []string{`"out":"message sent","peer":1`, `"demand":1,`} {
		if !bytes.Contains(text, []byte(part)) {
			t.Fatalf("no %s is recorded", part)
		}
	}
	first := bytes.Index(text, []byte(`"out":"message sent"`))
	before, after := text[:first], text[first:]
	for was, now := range map[string]string{`"peer":1`: `"peer":3`, `"id":`: `"id":9`} {
		changed := append(bytes.Clone(before), bytes.Replace(after, []byte(was), []byte(now), 1)...)
		if got := replay(t, changed, ""); got.differences == 0 || got.err != nil {
			t.Errorf("%s instead of %s: %d differences, %v", now, was, got.differences, got.err)
		}
	}
}

// A scheduler without addresses of peers sends no messages, even if the settings allow them, and nor does the replay of its
// capture.
func TestReplayWithoutPeerAddresses(t *testing.T) {
	withoutPeers := strings.NewReplacer(`"peer_listen":"127.0.0.1:1",`, "", `"peers":["127.0.0.1:1","127.0.0.1:2"]`, `"unused":0`).Replace(platformOfPeer(1))
	s := newSchedulerWithPlatform(t, withoutPeers, filesystem.Disk, slog.New(slog.DiscardHandler), 1, config.Capture{MemoryKB: 4 << 10})
	s.run(200)
	text := s.recorder.Dump()
	if sends := checkReplaysWithoutDifference(t, text); sends == 0 || bytes.Contains(text, []byte(`"out":"message sent"`)) {
		t.Errorf("%d sends, or messages to peers", sends)
	}
}

// The replay rejects a line about a message between schedulers that contains no message.
func TestReplayRejectsLineWithoutMessage(t *testing.T) {
	text := recordedText(t)
	for _, line := range []string{`{"t":1,"in":"message received","peer":1}`, `{"t":1,"out":"message sent","peer":1,"message":{}}`} {
		got := replay(t, append(bytes.Clone(text), line...), "")
		if got.err == nil || !strings.Contains(got.err.Error(), errNoMessage.Error()) {
			t.Errorf("%s: %v, expected an error about the missing message", line, got.err)
		}
	}
}
