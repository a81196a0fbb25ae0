package discovery

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

// scanAll scans a text in pieces of a size, and returns its events and the line ends between them.
func scanAll(text string, size int) (tokens []string, err error) {
	var scanner EventScanner
	for from := 0; from < len(text); from += size {
		piece := []byte(text[from:min(from+size, len(text))])
		for len(piece) > 0 {
			token, consumed, err := scanner.Scan(piece)
			if err != nil {
				return tokens, err
			}
			piece = piece[consumed:]
			switch token.Kind {
			case TokenEvent:
				tokens = append(tokens, strings.TrimSpace(string(token.Event)))
			case TokenLineEnd:
				tokens = append(tokens, "\n")
			case TokenNone:
			}
		}
	}
	return tokens, nil
}

// Events are found with any whitespace between them and in pieces of any size; braces in strings are ignored.
func TestScannerFindsEvents(t *testing.T) {
	const tricky = `{"id":"}{\"]\\","list":[{"a":1}]}`
	for text, want := range map[string][]string{
		"\n":                          {"\n"},
		" \t\r\n{}\n":                 {"\n", "{}", "\n"},
		tricky + "\n" + tricky + "\n": {tricky, "\n", tricky, "\n"},
		tricky + tricky:               {tricky, tricky},
		"{\n \"a\": [\n1\n]\n}\n":     {"{\n \"a\": [\n1\n]\n}", "\n"},
		"{}{\"a\"":                    {"{}"},
	} {
		for _, size := range []int{len(text), 3, 1} {
			got, err := scanAll(text, size)
			if err != nil || !slices.Equal(got, want) {
				t.Errorf("%q in pieces of %d: %q, %v, wanted %q", text, size, got, err, want)
			}
		}
	}
}

// A text that is not an object is an error, and so is an object without end, of which at most the limit and one piece are buffered.
func TestScannerErrors(t *testing.T) {
	for _, text := range []string{"}", "word", "[]", "{}1"} {
		if _, err := scanAll(text, 1); !errors.Is(err, ErrNotAnEvent) {
			t.Errorf("%q: %v", text, err)
		}
	}
	const piece = 32 << 10
	var scanner EventScanner
	_, _, err := scanner.Scan([]byte(`{"a":"`))
	for range MaxEventSize/piece + 1 {
		if err == nil {
			_, _, err = scanner.Scan([]byte(strings.Repeat("x", piece)))
		}
	}
	if !errors.Is(err, ErrEventTooLarge) || scanner.Buffered() > MaxEventSize+piece {
		t.Errorf("an event without end: %v, %d bytes kept", err, scanner.Buffered())
	}
}
