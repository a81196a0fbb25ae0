package server

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
)

// from connects from a loopback address.
func (s *started) from(address string) net.Conn {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
	c, err := d.Dial("tcp", s.addr)
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { _ = c.Close() })
	return c
}

// expectClosed expects that a connection ends without a byte.
func (s *started) expectClosed(c net.Conn, sends string) {
	_, _ = io.WriteString(c, sends)
	b, _ := io.ReadAll(c) // a reset ends it too
	if len(b) > 0 {
		s.Errorf("%q was answered with %q", sends, b)
	}
}

// Over real sockets, on both listeners: the connection of a denied client is closed and logged. A load balancer's PROXY header
// sets the client on each line; one from another client, or a malformed one, closes the connection.
func TestAddressLists(t *testing.T) {
	port := freePort(t)
	s := startWith(t, conf, "[addresses]\nallow = ['127.0.0.0/8']\ndeny = ['127.0.0.66/32']\ntrusted_fronts = ['127.0.0.9/32']\n"+
		"[status]\nlisten_port = "+port)
	for _, at := range []string{s.addr, "127.0.0.1:" + port} {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.0.66")}}
		c, err := d.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		s.expectClosed(c, "")
		s.log(`level=WARN msg="connection rejected" scheduler=n0 reason="in addresses.deny" client=` + c.LocalAddr().String())
		_ = c.Close()
	}
	const v2 = "\r\n\r\n\x00\r\nQUIT\n\x21\x11\x00\x0c\xcb\x00\x71\x07\x0a\x14\x00\x01\xc9\x3a\x23\x28"
	for _, header := range []string{"PROXY TCP4 203.0.113.7 10.20.0.1 51514 9000\r\n", v2} {
		c := s.from("127.0.0.9")
		_, _ = io.WriteString(c, header+request)
		if line, _ := bufio.NewReader(c).ReadString('\n'); line != unavailable {
			t.Errorf("after %q: %q", header, line)
		}
		whose := " client=203.0.113.7:51514 via=" + c.LocalAddr().String()
		s.log(`msg="client connection open" scheduler=n0` + whose)
		s.log(`msg="request answered" scheduler=n0 request=1 status=503` + whose)
		untrusted := s.from("127.0.0.10")
		s.expectClosed(untrusted, header+request)
		s.log(`reason="PROXY header from an address that is not trusted" client=` + untrusted.LocalAddr().String())
	}
	c := s.from("127.0.0.9")
	s.expectClosed(c, "PROXY TCP4 nowhere\r\n"+request)
	s.log(`msg="client connection closed" scheduler=n0 reason="malformed PROXY header" client=` + c.LocalAddr().String())
	c = s.from("127.0.0.9")
	_, _ = io.WriteString(c, "\r\n\r\n\x00\r\nQUIT\n\x20\x00\x00\x00GET /up HTTP/1.1\r\n\r\n") // the load balancer's own
	if line, _ := bufio.NewReader(c).ReadString('\n'); line != "HTTP/1.1 200 OK\r\n" {
		t.Errorf("/up by the load balancer itself: %q", line)
	}
	own := c.LocalAddr().String()
	s.log(`msg="client connection open" scheduler=n0 client=` + own + " via=" + own)
}

// Without the section, connections are not logged, and a PROXY header is a malformed request.
func TestAddressesOff(t *testing.T) {
	s := start(t, conf)
	c := s.dial()
	_, _ = io.WriteString(c, "PROXY TCP4 203.0.113.7 10.20.0.1 51514 9000\r\n\r\n")
	if line, _ := bufio.NewReader(c).ReadString('\n'); !strings.HasPrefix(line, "HTTP/1.1 400 ") {
		t.Errorf("%q", line)
	}
}
