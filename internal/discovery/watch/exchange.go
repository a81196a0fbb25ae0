package watch

import (
	"errors"
	"fmt"
	"strconv"

	jsoniter "github.com/json-iterator/go"
	"golang.org/x/sys/unix"

	"valvecove/internal/discovery"
	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

// watchPath is the request target without the revision after which changes are requested, which is appended.
const watchPath = "/discovery/hosts?stream=1&index="

// completeConnect sends the request if the connection is established, and returns an error if it could not be established.
func (c *Connection) completeConnect(events uint32) error {
	if err := c.ConnectError(); err != nil {
		return err
	}
	if events&unix.EPOLLOUT == 0 {
		return nil
	}
	c.machine.Connected(c.loop.Now())
	c.resetTimer()
	target := watchPath + strconv.FormatInt(c.requestedRevision, 10)
	request := http1.AppendRequestStart(nil, "GET", target, c.server.String())
	return c.Send(append(request, "\r\n"...))
}

// readResponse parses the received input of the response.
func (c *Connection) readResponse() error {
	for !c.isStreaming {
		complete, err := c.readResponseHeader()
		if err != nil || !complete {
			return err
		}
	}
	return c.readBody()
}

// readResponseHeader consumes one response header, which may be an interim one. complete is false if more input is needed.
func (c *Connection) readResponseHeader() (complete bool, err error) {
	size, err := c.response.ParseHeader(c.Input())
	if errors.Is(err, http1.ErrIncomplete) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	c.Consume(size)
	if c.response.IsInterim() {
		return true, nil
	}
	if c.response.StatusCode != http1.StatusOK || !c.response.IsChunked() {
		return false, fmt.Errorf("%w: status %d, chunked %v", errRejected, c.response.StatusCode, c.response.IsChunked())
	}
	c.isStreaming = true
	return true, nil
}

// readBody decodes the received chunks of the response body.
func (c *Connection) readBody() error {
	consumed := 0
	for {
		piece, size, err := c.body.Next(c.Input()[consumed:])
		if err != nil {
			return err
		}
		if size == 0 {
			break
		}
		consumed += size
		if err := c.readPiece(piece); err != nil {
			return err
		}
	}
	c.Consume(consumed)
	if c.body.IsDone() {
		return errClosed
	}
	return nil
}

// readPiece handles a piece of the body, which may contain several events and parts of events.
func (c *Connection) readPiece(piece []byte) error {
	for len(piece) > 0 {
		token, consumed, err := c.scanner.Scan(piece)
		if err != nil {
			return err
		}
		piece = piece[consumed:]
		if token.Kind == discovery.TokenNone {
			continue
		}
		c.handleLine()
		if token.Kind == discovery.TokenEvent {
			if err := c.applyEvent(token.Event); err != nil {
				return err
			}
		}
	}
	return nil
}

// handleLine records the receipt of a line, which is an event or empty.
func (c *Connection) handleLine() {
	now := c.loop.Now()
	if now > c.lastLineAt {
		c.previousLineAt = c.lastLineAt
		c.lastLineAt = now
	}
	c.machine.LineReceived(now)
	c.resetTimer()
}

// applyEvent decodes an event, which is a JSON object, and passes it to the request table.
func (c *Connection) applyEvent(event []byte) error {
	var list requests.EndpointList
	if err := jsoniter.ConfigDefault.Unmarshal(event, &list); err != nil {
		return fmt.Errorf("watch event: %w", err)
	}
	if !c.hasReceivedEvent {
		c.hasReceivedEvent = true
		c.config.Log.Info("watch started", "discovery", c.server.String(), "after", c.requestedRevision, "revision", list.Revision,
			"snapshot", list.Reset, "entries", len(list.Endpoints))
	}
	list.Receipt = requests.Receipt{At: c.loop.Now(), PreviousCurrentAt: c.previousLineAt}
	c.config.Table.UpdateEndpoints(list)
	return nil
}
