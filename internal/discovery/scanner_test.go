package discovery

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

// scanAll scans a text in pieces of the given size, and returns its events, and "\n" for each line end between them.
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

// The scanner finds events that are separated by any whitespace and received in pieces of any size, and ignores braces in
// strings.
func TestScannerFindsEvents(t *testing.T) {
	const bracesInString = `{"id":"}{\"]\\","list":[{"a":1}]}`
	for text, want := range map[string][]string{
		"\n":          {"\n"},
		" \t\r\n{}\n": {"\n", "{}", "\n"},
		bracesInString + "\n" + bracesInString + "\n": {bracesInString, "\n", bracesInString, "\n"},
		bracesInString + bracesInString:               {bracesInString, bracesInString},
		"{\n \"a\": [\n1\n]\n}\n":                     {"{\n \"a\": [\n1\n]\n}", "\n"},
		"{}{\"a\"":                                    {"{}"},
	} {
		for _, size := range []int{len(text), 3, 1} {
			got, err := scanAll(text, size)
			if err != nil || !slices.Equal(got, want) {
				t.Errorf("%q in pieces of %d bytes: tokens %q, error %v, want %q", text, size, got, err, want)
			}
		}
	}
}

// A body that contains anything but objects is an error. An object without end is an error too, once more than MaxEventSize bytes
// are buffered: at most that and one piece.
func TestScannerErrors(t *testing.T) {
	for _, text := range []string{"}", "word", "[]", "{}1"} {
		if _, err := scanAll(text, 1); !errors.Is(err, ErrNotAnEvent) {
			t.Errorf("%q: error %v, want %v", text, err, ErrNotAnEvent)
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
		t.Errorf("an event without end: error %v, %d bytes buffered", err, scanner.Buffered())
	}
}
