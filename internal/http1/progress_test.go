package http1

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// resumedRequests are requests of all framings, valid and not.
var resumedRequests = []string{
	"POST /a HTTP/1.1\r\nX-Call-Id: 1\r\nContent-Length: 5\r\n\r\nhello",
	"\r\n\r\nGET /up HTTP/1.1\r\n\r\n",
	"\r\n\r\n\r\n\r\n\r\nGET /up HTTP/1.1\r\n\r\n",
	"POST /a HTTP/1.1\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n002\r\nde\r\n0\r\nTrailer: t\r\n\r\n",
	"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
	"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\ng\r\n",
	"POST /a HTTP/1.1\r\nno field\r\nX: y\r\n\r\n",
	"POST /a HTTP/1.1\r\nX: y\nZ: y\r\n\r\n",
	"POST /a HTTP/9.1\r\nX: y\r\n\r\n",
	"POST /a HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab",
	"POST /a HTTP/1.1\r\nContent-Length: 70000\r\n\r\nab",
	"GET /a HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 600) + "\r\n",
	"GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", MaxHeaderSize),
	"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 600) + "0\r\n\r\n",
	"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 3),
}

// Resume returns what Parse returns for the same input, wherever the input was cut before.
func TestResumeIsParseOfAllInput(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, text := range resumedRequests {
		for range 20 {
			var progress Progress
			for size := 0; size < len(text); {
				size = min(len(text), size+1+random.IntN(max(40, len(text)/100)))
				input := []byte(text[:size])
				var resumed, parsed Request
				gotSize, got := resumed.Resume(input, &progress)
				wantSize, want := parsed.Parse(input)
				if gotSize != wantSize || !reflect.DeepEqual(got, want) || string(resumed.Body) != string(parsed.Body) ||
					resumed.ExpectContinue != parsed.ExpectContinue {
					t.Fatalf("%.60q, %d bytes: %d, %v, %+v, expected %d, %v", text, size, gotSize, got, progress, wantSize, want)
				}
				if !errors.Is(got, ErrIncomplete) {
					break
				}
			}
		}
	}
}

// Guards against a flood of small pieces that keeps other clients waiting: each piece had the whole request parsed again. Input that
// was read must not be read again, so changes there have no effect until the request is complete.
func TestResumeDoesNotReadAgain(t *testing.T) {
	const first = "POST /a HTTP/1.1\r\n"
	for name, text := range map[string]string{
		"fields": first + strings.Repeat("a:\r\n", 100),
		"chunks": first + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 100),
		"length": first + "Content-Length: 600\r\n\r\n" + strings.Repeat("x", 500),
	} {
		var request Request
		var progress Progress
		half := []byte(text[:len(text)/2])
		for range 2 { // the first call only finds the framing
			if _, err := request.Resume(half, &progress); !errors.Is(err, ErrIncomplete) {
				t.Fatalf("%s, half: %v", name, err)
			}
		}
		whole := []byte(text)
		copy(whole[len(first):len(text)/2-20], strings.Repeat("\n", len(text))) // not valid in any place
		if _, err := request.Resume(whole, &progress); !errors.Is(err, ErrIncomplete) {
			t.Errorf("%s: %v, expected that the first half is not read again", name, err)
		}
	}
}
