package link

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/succession"
)

// cedeWithin is how long a hand-over may take: as long nobody is served.
const cedeWithin = 600 * time.Millisecond

// elder is the side of a process that serves: it waits for an heir.
type elder struct {
	loop *Loop
	fd   int
	heir *heirLink // nil: none stands by
}

// heirLink is the channel to an heir.
type heirLink struct {
	channel
	home    *elder
	greeted bool
	late    *timer                                 // for its greeting
	asked   map[uint64]func(code int, what string) // calls handed on to it, once it serves
	seq     uint64
}

// A name without a path is free only once the process that had it has let it go, which may take a moment.
const (
	awaitAgain = 20 * time.Millisecond
	awaitTimes = 100
)

// awaitHeir has the process wait for the one that will replace it.
func (l *Loop) awaitHeir(points []string) { l.awaitFor(points, awaitTimes) }

func (l *Loop) awaitFor(points []string, times int) {
	e := &elder{loop: l}
	var err error
	if e.fd, err = await(points); err == nil {
		if err = l.add(e.fd, unix.EPOLLIN, e); err != nil {
			_ = unix.Close(e.fd)
		}
	}
	switch {
	case err == nil:
		l.elder = e
	case errors.Is(err, unix.EADDRINUSE) && times > 0:
		l.after(awaitAgain, (*waker)(l), func() { l.awaitFor(points, times-1) })
	default: // it can be replaced all the same, with a drain
		l.log.Warn("no successor can reach this process", "error", err)
	}
}

func (e *elder) broken() {}

// ready takes in an heir. There is one at a time: two would both believe that they are next.
func (e *elder) ready(uint32) {
	fd, _, err := unix.Accept4(e.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return
	}
	if k := e.heir; k != nil { // one that has just gone, perhaps to come again, is in nobody's way
		e.loop.guard(k, func() { k.ready(unix.EPOLLIN) })
	}
	k := &heirLink{home: e, asked: map[uint64]func(int, string){}}
	if k.stream, err = e.loop.stream(fd, streamEvents, k); err != nil {
		_ = unix.Close(fd)
		return
	}
	why := ""
	switch {
	case !ours(fd):
		why = "another user's process"
	case e.heir != nil:
		why = "another process is to be the successor"
	case e.loop.ceded:
		why = "this process has a successor"
	}
	if why != "" {
		e.loop.log.Warn("successor turned away", "why", why)
		_ = k.say(succession.KindDenied, succession.Denied{Why: why})
		k.drop()
		return
	}
	e.heir = k
	k.late = e.loop.after(welcomeWithin, k, func() { k.end(errors.New("it does not say a word")) })
}

func (k *heirLink) broken() { k.end(errors.New("panic")) }

func (k *heirLink) end(cause error) {
	if k.closed {
		return
	}
	k.loop.stop(k.late)
	if k.home.heir == k {
		if k.home.heir = nil; !k.loop.ceded {
			k.loop.divide(false)
		}
	}
	k.loop.log.Info("successor gone", "cause", cause)
	for _, done := range k.asked {
		done(503, "the process that serves has gone")
	}
	clear(k.asked)
	k.drop()
}

func (k *heirLink) ready(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		if err := k.flush(); err != nil {
			k.end(err)
			return
		}
	}
	ended, err := k.fill()
	for err == nil && !k.closed {
		f, fd, n, bad := k.next()
		if errors.Is(bad, succession.ErrShort) {
			break
		}
		if fd >= 0 { // an heir has none to give
			_ = unix.Close(fd)
		}
		if err = bad; err == nil {
			err = k.take(f)
			k.took(n)
		}
	}
	if err != nil || ended {
		k.end(err)
	}
}

// take takes in what the heir says.
func (k *heirLink) take(f succession.Frame) error {
	l := k.loop
	switch {
	case f.Kind == succession.KindHello && !k.greeted:
		var hello succession.Hello
		if err := f.Decode(&hello); err != nil {
			return err
		}
		if hello.Form != succession.Form {
			_ = k.say(succession.KindDenied, succession.Denied{Why: fmt.Sprintf("form %d, expected %d", hello.Form, succession.Form)})
			return fmt.Errorf("a successor of form %d, expected %d", hello.Form, succession.Form)
		}
		k.greeted = true
		l.stop(k.late)
		until := l.clock() + cedeWithin
		err := k.press(until, l.clients.fd, succession.KindWelcome, succession.Welcome{Form: succession.Form, Out: l.Ledger.Bans()})
		if err != nil {
			return err
		}
		l.log.Info("successor stands by")
		l.divide(true)
		if l.onHeir != nil {
			l.onHeir()
		}
		return nil
	case f.Kind == succession.KindBan && k.greeted && !l.ceded:
		var b succession.Ban
		if err := f.Decode(&b); err != nil {
			return err
		}
		l.ban(b.ID, b.Out, func(code int, what string) {
			if !k.closed && k.say(succession.KindBanned, succession.Banned{Seq: b.Seq, Code: code, What: what}) != nil {
				k.end(errors.New("it does not listen"))
			}
		})
		return nil
	case f.Kind == succession.KindBanned && l.ceded:
		var b succession.Banned
		if err := f.Decode(&b); err != nil {
			return err
		}
		if done := k.asked[b.Seq]; done != nil {
			delete(k.asked, b.Seq)
			done(b.Code, b.What)
		}
		return nil
	}
	return fmt.Errorf("%v out of turn", f.Kind)
}

// Errors of Cede.
var (
	ErrNoHeir = errors.New("no successor stands by")
	ErrBusy   = errors.New("not now") // try again in a moment
)

// Cede hands all that this process has to the heir, in one step: the heir owns it once it says so, and until then nothing
// has changed here. Nothing else is done meanwhile: with two that act there would be two owners.
func (l *Loop) Cede() error {
	e := l.elder
	if e == nil || e.heir == nil || !e.heir.greeted {
		return ErrNoHeir
	}
	l.Ledger.Await(0) // what waits is the successor's, with all else
	if !l.Ledger.Settle(l.now) || l.keeper != nil && l.keeper.writing {
		return ErrBusy
	}
	k, began := e.heir, l.clock()
	sum, err := l.deliver(k, began+cedeWithin)
	if err != nil && !k.taken() {
		k.end(err)
		return fmt.Errorf("handing over: %w", err)
	}
	l.release(sum)
	l.log.Info("handed over", "queries", sum.queries, "client_links", len(sum.clients), "server_links", len(sum.servers),
		"module_bytes", sum.module, "took", (l.clock() - began).Round(10*time.Microsecond).String())
	return nil
}

// taken tells, once it has been waited for in vain, whether the heir has said that it is the owner all the same. Nothing that it
// says after this reaches us, and it finds that out, so that there are not two owners.
func (k *heirLink) taken() bool {
	_ = unix.Shutdown(k.fd, unix.SHUT_RDWR)
	for {
		before := len(k.in)
		if ended, err := k.fill(); err != nil || ended || len(k.in) == before {
			break
		}
	}
	for {
		f, _, n, err := k.next()
		if err != nil {
			return false
		}
		if f.Kind == succession.KindTaken {
			return true
		}
		k.took(n)
	}
}

// delivered is what went to an heir.
type delivered struct {
	clients []*clientLink
	servers []*serverLink
	queries int
	module  int
}

// deliver sends it all, and waits for the heir's word.
func (l *Loop) deliver(k *heirLink, until time.Duration) (sum delivered, err error) {
	frames := 0
	put := func(fd int, kind succession.Kind, body any) {
		if err == nil {
			err = k.press(until, fd, kind, body)
			frames++
		}
	}
	put(-1, succession.KindBegin, nil)
	frames = 0
	state := l.decides.Snapshot(nil)
	sum.module = len(state)
	for len(state) > 0 {
		n := min(len(state), succession.Piece)
		put(-1, succession.KindModule, state[:n])
		state = state[n:]
	}
	book, open := l.Ledger.Estate()
	sum.queries = len(open)
	put(-1, succession.KindBook, book)
	for _, q := range open {
		put(-1, succession.KindQuery, q)
	}
	for c := range l.clients.links {
		if !c.lingering {
			put(c.fd, succession.KindClient, c.record())
			sum.clients = append(sum.clients, c)
		}
	}
	for _, s := range l.servers.handed() {
		put(s.fd, succession.KindServer, s.record())
		sum.servers = append(sum.servers, s)
	}
	put(-1, succession.KindEnd, succession.End{Frames: frames})
	for err == nil {
		// What has come is read to its end before more is waited for: the word may lie behind another frame.
		f, _, n, bad := k.next()
		if errors.Is(bad, succession.ErrShort) {
			if err = k.wait(until, unix.POLLIN); err != nil {
				break
			}
			ended, gone := k.fill()
			if gone != nil || ended {
				err = errors.Join(errors.New("the successor has gone"), gone)
			}
			continue
		}
		if err = bad; err == nil {
			k.took(n)
			switch f.Kind {
			case succession.KindTaken:
				return sum, nil
			case succession.KindBan: // it came while we were at it: the new owner carries it out
			default:
				err = fmt.Errorf("%v out of turn", f.Kind)
			}
		}
	}
	return sum, err
}

// release lets go of what is the heir's now.
func (l *Loop) release(sum delivered) {
	for _, c := range sum.clients {
		c.busy()
		c.turns = nil
		c.close()
		c.count()
		delete(l.clients.links, c)
	}
	for _, s := range sum.servers {
		l.stop(s.timer)
		s.state = gone
		s.close()
	}
	clear(l.servers.carried)
	l.watch.stop()
	l.remove(l.clients.fd)
	l.clients.fd = -1
	l.remove(l.elder.fd)
	l.ceded = true
}

// OnHeir has act called whenever an heir stands by.
func (l *Loop) OnHeir(act func()) { l.onHeir = act }

// handOn has the process that serves set or end a ban.
func (k *heirLink) handOn(id string, out bool, done func(code int, what string)) {
	k.seq++
	k.asked[k.seq] = done
	if k.say(succession.KindBan, succession.Ban{Seq: k.seq, ID: id, Out: out}) != nil {
		k.end(errors.New("it does not listen"))
	}
}
