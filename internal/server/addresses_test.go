package server

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
)

// dialFrom connects from a loopback address.
func (s *process) dialFrom(address string) net.Conn {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
	c, err := d.Dial("tcp", s.addr)
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { _ = c.Close() })
	return c
}

// expectClosed writes to a connection and expects it to be closed without a response.
func (s *process) expectClosed(c net.Conn, sends string) {
	_, _ = io.WriteString(c, sends)
	b, _ := io.ReadAll(c) // the connection may also end by a reset
	if len(b) > 0 {
		s.Errorf("%q was answered with %q", sends, b)
	}
}

// The connection of a denied client is closed and logged, on both listeners. The PROXY header of a load balancer sets the client
// address of its log lines. A PROXY header from another address, or a malformed one, closes the connection.
func TestAddressLists(t *testing.T) {
	port := freePort(t)
	s := startWith(t, testConfig, "[addresses]\nallow = ['127.0.0.0/8']\ndeny = ['127.0.0.66/32']\ntrusted_fronts = ['127.0.0.9/32']\n"+
		"[status]\nlisten_port = "+port)
	for _, at := range []string{s.addr, "127.0.0.1:" + port} {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.0.66")}}
		c, err := d.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		s.expectClosed(c, "")
		s.awaitLogLine(`level=WARN msg="connection rejected" scheduler=n0 reason="in addresses.deny" client=` + c.LocalAddr().String())
		_ = c.Close()
	}
	const v2 = "\r\n\r\n\x00\r\nQUIT\n\x21\x11\x00\x0c\xcb\x00\x71\x07\x0a\x14\x00\x01\xc9\x3a\x23\x28"
	for _, header := range []string{"PROXY TCP4 203.0.113.7 10.20.0.1 51514 9000\r\n", v2} {
		c := s.dialFrom("127.0.0.9")
		_, _ = io.WriteString(c, header+testRequest)
		if line, _ := bufio.NewReader(c).ReadString('\n'); line != unavailableStatusLine {
			t.Errorf("a request after %q: %q, expected 503", header, line)
		}
		whose := " client=203.0.113.7:51514 via=" + c.LocalAddr().String()
		s.awaitLogLine(`msg="client connection open" scheduler=n0` + whose)
		s.awaitLogLine(`msg="request answered" scheduler=n0 request=1 status=503` + whose)
		untrusted := s.dialFrom("127.0.0.10")
		s.expectClosed(untrusted, header+testRequest)
		s.awaitLogLine(`reason="PROXY header from an address that is not trusted" client=` + untrusted.LocalAddr().String())
	}
	c := s.dialFrom("127.0.0.9")
	s.expectClosed(c, "PROXY TCP4 nowhere\r\n"+testRequest)
	s.awaitLogLine(`msg="client connection closed" scheduler=n0 reason="malformed PROXY header" client=` + c.LocalAddr().String())
	c = s.dialFrom("127.0.0.9")
	_, _ = io.WriteString(c, "\r\n\r\n\x00\r\nQUIT\n\x20\x00\x00\x00GET /up HTTP/1.1\r\n\r\n") // a LOCAL header: its own check
	if line, _ := bufio.NewReader(c).ReadString('\n'); line != "HTTP/1.1 200 OK\r\n" {
		t.Errorf("/up by the load balancer itself: %q", line)
	}
	own := c.LocalAddr().String()
	s.awaitLogLine(`msg="client connection open" scheduler=n0 client=` + own + " via=" + own)
}

// Without the section [addresses], client connections are not logged, and a PROXY header is a malformed request.
func TestAddressesOff(t *testing.T) {
	s := start(t, testConfig)
	c := s.dial()
	_, _ = io.WriteString(c, "PROXY TCP4 203.0.113.7 10.20.0.1 51514 9000\r\n\r\n")
	if line, _ := bufio.NewReader(c).ReadString('\n'); !strings.HasPrefix(line, "HTTP/1.1 400 ") {
		t.Errorf("a PROXY header got %q, expected 400", line)
	}
}
