package fakeplatform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// requestBudgetMillis is the X-Budget-Ms of every request of a client.
const requestBudgetMillis = 60_000

// Client sends requests one after another on one connection, which stays open until Close. It must not be used
// concurrently.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial connects a client to the scheduler. The caller has to close it.
func (p *Platform) Dial() (*Client, error) {
	conn, err := net.Dial("tcp", p.Listen)
	if err != nil {
		return nil, err
	}
	return &Client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Send sends a request with a class, an X-Call-Id and a payload, and waits for the response. The request is written in
// two pieces: the first split bytes, then the remainder. It returns an error if the connection fails or the response is
// malformed.
func (c *Client) Send(class, id, payload string, split int) (status int, result string, err error) {
	request := fmt.Sprintf("POST /%s/1 HTTP/1.1\r\nHost: h\r\nX-Call-Class: %s\r\nX-Call-Id: %s\r\nX-Budget-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n%s", class, class, id, requestBudgetMillis, len(payload), payload)
	split = min(split, len(request))
	for _, piece := range []string{request[:split], request[split:]} {
		if _, err := io.WriteString(c.conn, piece); err != nil {
			return 0, "", err
		}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}
