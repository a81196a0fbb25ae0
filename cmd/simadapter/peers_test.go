package main

import (
	"encoding/base64"
	"fmt"
	"strings"
	"testing"

	"valvecove/internal/gossip"
)

// enlistPeerLines returns the lines that start one of two instances that may send messages to each other.
func enlistPeerLines(i int) []string {
	lines := enlistLines(i)
	lines[0] = strings.NewReplacer(`"bounds":{`, `"bounds":{"peers":true,`, `"zone":0`, fmt.Sprintf(`"zone":0,"me":%d`, i)).Replace(lines[0])
	return lines
}

// datagram is a MEMO_TO line of a reply.
type datagram struct {
	from, to int
	payload  string
}

// parseDatagrams returns the datagrams in a reply.
func parseDatagrams(t *testing.T, reply string) (found []datagram) {
	t.Helper()
	for line := range strings.SplitSeq(reply, "\n") {
		if !strings.HasPrefix(line, "MEMO_TO ") {
			continue
		}
		var sent datagram
		if _, err := fmt.Sscanf(line, "MEMO_TO i=%d peer=%d payload=%s", &sent.from, &sent.to, &sent.payload); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		content, err := base64.StdEncoding.DecodeString(sent.payload)
		if err != nil || len(content) == 0 || len(content) > gossip.MaxDatagram || sent.to < 0 || sent.to > 1 || sent.to == sent.from {
			t.Errorf("%q: %d bytes, %v", line, len(content), err)
		}
		found = append(found, sent)
	}
	return found
}

// deliveryLines returns the event lines with which datagrams are received.
func deliveryLines(sent []datagram) (lines []string) {
	for _, one := range sent {
		lines = append(lines, fmt.Sprintf("PEER_DATA i=%d src=%d payload=%s", one.to, one.from, one.payload))
	}
	return lines
}

// peerTranscript runs two instances with jobs, and returns the batches and the replies. events returns the additional lines of
// batch n, given the datagrams in the previous reply.
func peerTranscript(t *testing.T, events func(n int, sent []datagram) []string) (batches [][]string, all []string) {
	t.Helper()
	batches = [][]string{append(enlistPeerLines(0), enlistPeerLines(1)...)}
	for n := range 8 {
		all = runInput(t, encodeBatches(batches))
		sent := parseDatagrams(t, all[len(all)-1])
		batch := append(events(n, sent), "WAKEUP i=0 tag=1", "WAKEUP i=1 tag=1")
		if n < 4 {
			for i := range 2 {
				batch = append(batch, fmt.Sprintf("REQUEST i=%d txn=%d service=0 left=400000 effort=20000 slots=1", i, 100*i+n))
			}
		}
		batches = append(batches, batch)
	}
	return batches, runInput(t, encodeBatches(batches))
}

func TestInstancesExchangeDatagrams(t *testing.T) {
	_, delivered := peerTranscript(t, func(_ int, sent []datagram) []string { return deliveryLines(sent) })
	datagrams := map[int]int{}
	for _, reply := range delivered {
		for _, sent := range parseDatagrams(t, reply) {
			datagrams[sent.from]++
		}
	}
	all := strings.Join(delivered, "")
	if datagrams[0] == 0 || datagrams[1] == 0 || !strings.Contains(all, "FORWARD") || strings.Contains(all, "INTERNAL_ERROR") {
		t.Errorf("%v datagrams by sender:\n%s", datagrams, all)
	}
	_, lost := peerTranscript(t, func(int, []datagram) []string { return nil })
	if strings.Join(lost, "") == all {
		t.Error("the replies are the same without datagrams")
	}
}

// Invalid and repeated payloads, and those from an instance that is no peer, don't change the replies.
func TestInvalidPayloadsAreIgnored(t *testing.T) {
	_, want := peerTranscript(t, func(_ int, sent []datagram) []string { return deliveryLines(sent) })
	_, got := peerTranscript(t, func(_ int, sent []datagram) []string {
		lines := []string{
			"PEER_DATA i=0 src=1 payload=-",
			"PEER_DATA i=0 src=1 payload=aGkgNw==",
			"PEER_DATA i=1 src=0 payload=" + base64.StdEncoding.EncodeToString(make([]byte, 300)),
		}
		for _, one := range sent {
			content, _ := base64.StdEncoding.DecodeString(one.payload)
			content[len(content)-1] ^= 1
			corrupted := base64.StdEncoding.EncodeToString(content)
			lines = append(lines, fmt.Sprintf("PEER_DATA i=%d src=%d payload=%s", one.to, one.from, corrupted),
				fmt.Sprintf("PEER_DATA i=%d src=%d payload=%s", one.to, one.to, one.payload),
				fmt.Sprintf("PEER_DATA i=%d src=-1 payload=%s", one.to, one.payload),
				fmt.Sprintf("PEER_DATA i=%d src=2 payload=%s", one.to, one.payload))
		}
		lines = append(lines, deliveryLines(sent)...)
		return append(lines, deliveryLines(sent)...) // each datagram twice
	})
	if strings.Join(got, "") != strings.Join(want, "") {
		t.Errorf("replies\n%s\nexpected\n%s", strings.Join(got, ""), strings.Join(want, ""))
	}
}

// An instance that is stopped, or not started yet, ignores datagrams. A new instance with the same number has no earlier state.
func TestDatagramsToStoppedInstance(t *testing.T) {
	batches, all := peerTranscript(t, func(_ int, sent []datagram) []string {
		return append(deliveryLines(sent), "PEER_DATA i=7 src=0 payload=aGkgNw==")
	})
	var last []datagram
	for _, reply := range all {
		if sent := parseDatagrams(t, reply); len(sent) > 0 {
			last = sent
		}
	}
	batches = append(batches, append([]string{"DETACH i=0", "DETACH i=1"}, deliveryLines(last)...))
	batches = append(batches, append(enlistPeerLines(0), deliveryLines(last)...))
	got := runInput(t, encodeBatches(batches))
	stopped, restarted := got[len(got)-2], got[len(got)-1]
	if strings.TrimSuffix(stopped, "NEXT\n") != "" || strings.Contains(restarted, "INTERNAL_ERROR") {
		t.Errorf("stopped: %q, restarted: %q", stopped, restarted)
	}
}

// If the settings don't allow messages between instances, none is sent, even if datagrams are received.
func TestNoDatagramsUnlessAllowed(t *testing.T) {
	batches := transcript(0, 1)
	for n := range batches[1:] {
		batches[n+1] = append(batches[n+1], "PEER_DATA i=0 src=1 payload=aGkgNw==")
	}
	if all := strings.Join(runInput(t, encodeBatches(batches)), ""); strings.Contains(all, "MEMO_TO") || !strings.Contains(all, "FORWARD") {
		t.Error(all)
	}
}
