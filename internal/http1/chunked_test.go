package http1

import (
	"errors"
	"strings"
	"testing"
)

// The decoder returns the same data for any size of the received pieces, and consumes nothing after the end of the body.
func TestChunkDecoderWithAnyPieceSize(t *testing.T) {
	const body, behind, want = "3;name=value\r\nabc\r\nA\n0123456789\r\n00\r\nTrailer: 1\r\n\r\n", "GET /", "abc0123456789"
	for pieceSize := 1; pieceSize <= len(body)+len(behind); pieceSize++ {
		var decoder ChunkDecoder
		var data, buffered []byte
		stream := []byte(body + behind)
		for len(stream) > 0 && !decoder.IsDone() {
			piece := stream[:min(pieceSize, len(stream))]
			stream = stream[len(piece):]
			buffered = append(buffered, piece...)
			for {
				decoded, consumed, err := decoder.Next(buffered)
				if err != nil {
					t.Fatalf("pieces of %d: %v in state %v", pieceSize, err, decoder.state)
				}
				if consumed == 0 {
					break
				}
				data = append(data, decoded...)
				buffered = buffered[consumed:]
			}
		}
		if string(data) != want || !decoder.IsDone() {
			t.Errorf("pieces of %d: %q in state %v", pieceSize, data, decoder.state)
		}
		if unread := string(buffered) + string(stream); unread != behind {
			t.Errorf("pieces of %d: %q is unread, expected %q", pieceSize, unread, behind)
		}
	}
}

func TestChunkDecoderRejectsInvalidChunks(t *testing.T) {
	for name, input := range map[string]string{
		"no size":            "\r\n",
		"no digit":           "g\r\n",
		"sign":               "+1\r\n",
		"too many digits":    "10000000\r\n",
		"digits after zeros": "000000000000000010000000\r\n",
		"zeros and a letter": "00000000g\r\n",
		"data after chunk":   "1\r\nab\r\n",
		"line without end":   string(make([]byte, maxChunkLineSize+1)),
		"long line":          "1;" + strings.Repeat("x", maxChunkLineSize-1) + "\r\n",
		"blanks in the size": "1 1\r\n",
		"no-break space":     "\u00a01\r\na\r\n0\r\n\r\n",
		"form feed":          "1\f\r\na\r\n0\r\n\r\n",
	} {
		var decoder ChunkDecoder
		stream := []byte(input)
		var err error
		for consumed := -1; consumed != 0 && err == nil; {
			_, consumed, err = decoder.Next(stream)
			stream = stream[consumed:]
		}
		var parseError *ParseError
		if !errors.As(err, &parseError) || parseError.StatusCode != StatusBadRequest {
			t.Errorf("%s: %v, expected a ParseError with status 400", name, err)
		}
	}
}

func TestChunkStateString(t *testing.T) {
	want := map[chunkState]string{
		chunkStateSize: "size", chunkStateData: "data", chunkStateDataEnd: "data end",
		chunkStateTrailer: "trailer", chunkStateDone: "done", chunkStateDone + 1: "invalid",
	}
	for state, text := range want {
		if state.String() != text {
			t.Errorf("%d is %q, expected %q", int(state), state, text)
		}
	}
}
