package loopback

import "testing"

const testPort = 5000 // first port of a range that no run uses

func TestReserveGivesEachRunItsOwnNetwork(t *testing.T) {
	seen := map[byte]bool{}
	for range 3 {
		network, err := Reserve(testPort)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(network.Close)
		if seen[network.number] {
			t.Errorf("network %d is reserved twice", network.number)
		}
		seen[network.number] = true
	}
}

func TestAtNumberFillsBlocks(t *testing.T) {
	network := &Network{number: 7, port: 12345}
	for number, want := range map[int]string{
		0: "127.7.16.1:12345", BlockSize - 1: "127.7.16.250:12345", BlockSize: "127.7.17.1:12345",
	} {
		if got := network.AtNumber(16, number).String(); got != want {
			t.Errorf("number %d: %s, expected %s", number, got, want)
		}
	}
}
