// Command standin plays a case: it is the clients, the workers, discovery and the platform, and starts schedulers by the run line of
// the deploy file. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	notValid = 2
)

// trouble says which disruptions a run has.
type trouble struct {
	manyAtOnce bool // clients send many commands at once on a connection
	upgrade    bool // the process is replaced
	history    bool // discovery has removed many workers since the list that the configuration names as known
}

// troubleOf reads the environment's TROUBLE: 0 leaves out all disruptions, 1 has the process replaced while clients send many commands at
// once, many and upgrade have one of these alone. history has the process replaced after many removals, past has those alone.
func troubleOf(text string) (trouble, error) {
	switch text {
	case "", "1":
		return trouble{manyAtOnce: true, upgrade: true}, nil
	case "0":
		return trouble{}, nil
	case "many":
		return trouble{manyAtOnce: true}, nil
	case "upgrade":
		return trouble{upgrade: true}, nil
	case "history":
		return trouble{upgrade: true, history: true}, nil
	case "past":
		return trouble{history: true}, nil
	}
	return trouble{}, fmt.Errorf("TROUBLE=%s: expected 0, 1, many, upgrade, history or past", text)
}

// play is what a case does. It returns the number of breaks of its rule.
type play func(d *deployment, with trouble) (breaks int, err error)

var plays = map[string]play{
	"split":  playSplit,
	"mixed":  playMixed,
	"memory": playMemory,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(notValid)
	}
	code, err := run(os.Args[1], os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
	}
	os.Exit(code)
}

func run(name, root, recordPath string) (code int, err error) {
	with, err := troubleOf(os.Getenv("TROUBLE"))
	if err != nil {
		return notValid, err
	}
	chosen := plays[name]
	if chosen == nil {
		return notValid, fmt.Errorf("no case %q", name)
	}
	record, err := newRecorder(recordPath)
	if err != nil {
		return notValid, err
	}
	defer record.close()
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return notValid, err
	}
	defer func() { _ = os.RemoveAll(temp) }()
	d := &deployment{root: root, temp: temp, record: record}
	defer d.end()
	if d.listen, err = freeAddress(); err != nil {
		return notValid, err
	}
	breaks, err := chosen(d, with)
	d.copyLogs()
	if err != nil {
		record.log("verdict: the case couldn't run: %v", err)
		return notValid, err
	}
	verdict, code := "the rule held", held
	if breaks > 0 {
		verdict, code = fmt.Sprintf("the rule was broken %d times", breaks), broken
	}
	record.log("verdict: %s; many at once: %v, upgrade: %v, history: %v", verdict, with.manyAtOnce, with.upgrade, with.history)
	fmt.Println(verdict)
	return code, nil
}

// copyLogs copies the logs of the schedulers into the record.
func (d *deployment) copyLogs() {
	for _, s := range d.started {
		if text, err := os.ReadFile(filepath.Join(d.temp, s.name+".log")); err == nil {
			d.record.log("log of %s:\n%s", s.name, text)
		}
	}
}

// deploy starts workers, discovery and one scheduler, and waits until it is up.
func (d *deployment) deploy(workers int, limits limits, plan plan, received func(*worker, *job)) (*scheduler, error) {
	for number := range workers {
		w, err := startWorker(number, d.listen, d.record, plan, received)
		if err != nil {
			return nil, err
		}
		d.workers = append(d.workers, w)
	}
	var err error
	if d.discovery, err = startDiscovery(d.workers, d.removed); err != nil {
		return nil, err
	}
	d.limits = limits
	first, err := d.start("first")
	if err != nil {
		return nil, err
	}
	return first, awaitOK(d.listen, "/up")
}
