package environment

// workerConnSet holds the connections at a worker's end.
type workerConnSet struct {
	open     []*workerConn // of the running process, in no order; workerConn.index is the index
	halfOpen []*workerConn // of processes whose machine fell silent; indexed likewise
}

// add adds a connection that the running process has accepted.
func (s *workerConnSet) add(conn *workerConn) {
	conn.index = len(s.open)
	s.open = append(s.open, conn)
}

// remove removes a connection; one that is in neither list stays as it is.
func (s *workerConnSet) remove(conn *workerConn) {
	if conn.index < 0 {
		return
	}
	list := &s.open
	if conn.halfOpen {
		list = &s.halfOpen
	}
	last := len(*list) - 1
	(*list)[conn.index] = (*list)[last]
	(*list)[conn.index].index = conn.index
	(*list)[last] = nil
	*list = (*list)[:last]
	conn.index = -1
}

// takeOpen removes all open connections and returns them.
func (s *workerConnSet) takeOpen() []*workerConn {
	conns := s.open
	s.open = nil
	return conns
}

// addHalfOpen adds a connection whose machine fell silent.
func (s *workerConnSet) addHalfOpen(conn *workerConn) {
	conn.halfOpen = true
	conn.index = len(s.halfOpen)
	s.halfOpen = append(s.halfOpen, conn)
}

// forgetHalfOpen removes all half-open connections.
func (s *workerConnSet) forgetHalfOpen() {
	for _, conn := range s.halfOpen {
		conn.index = -1
	}
	s.halfOpen = nil
}
