// Package faultwire is a loopback TCP forwarder that harms what passes through
// it: connections are delayed, reset, silenced or cut one way.
package faultwire

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Mode is how a wire treats connections.
type Mode int

// The modes.
const (
	// Sound passes everything on.
	Sound Mode = iota
	// Slow passes everything on after a delay.
	Slow
	// Reset resets all connections, new ones too.
	Reset
	// Silent takes connections and passes nothing on in either direction.
	Silent
	// OneWay passes requests on and holds answers back.
	OneWay
)

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"sound", "slow", "reset", "silent", "one way"}[m]
}

const (
	slowDelay  = 120 * time.Millisecond
	bufferSize = 16 << 10
)

// Wire forwards connections to one address.
type Wire struct {
	listener net.Listener
	target   string

	mutex   sync.Mutex
	changed *sync.Cond
	mode    Mode
	open    map[*net.TCPConn]bool
}

// New returns a sound wire to an address.
func New(target string) (*Wire, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "no free port on loopback")
	}
	w := &Wire{listener: listener, target: target, open: map[*net.TCPConn]bool{}}
	w.changed = sync.NewCond(&w.mutex)
	go w.accept()
	return w, nil
}

// Address is where the wire is reached.
func (w *Wire) Address() string { return w.listener.Addr().String() }

// Set changes the mode. Bytes that were held back are passed on if the connection
// is still there.
func (w *Wire) Set(mode Mode) {
	w.mutex.Lock()
	w.mode = mode
	reset := []*net.TCPConn{}
	if mode == Reset {
		for c := range w.open {
			reset = append(reset, c)
		}
	}
	w.changed.Broadcast()
	w.mutex.Unlock()
	for _, c := range reset {
		abort(c)
	}
}

// Close ends the wire and all its connections.
func (w *Wire) Close() {
	_ = w.listener.Close()
	w.Set(Reset)
}

func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (w *Wire) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.carry(c.(*net.TCPConn))
	}
}

// carry passes one connection on until either side ends it.
func (w *Wire) carry(caller *net.TCPConn) {
	if !w.admit(caller) {
		abort(caller)
		return
	}
	defer w.release(caller)
	c, err := net.Dial("tcp", w.target)
	if err != nil {
		abort(caller)
		return
	}
	server := c.(*net.TCPConn)
	if !w.admit(server) {
		abort(server)
		return
	}
	defer w.release(server)
	var done sync.WaitGroup
	done.Go(func() { w.pass(server, caller, false) })
	done.Go(func() { w.pass(caller, server, true) })
	done.Wait()
}

func (w *Wire) admit(c *net.TCPConn) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.mode == Reset {
		return false
	}
	w.open[c] = true
	return true
}

func (w *Wire) release(c *net.TCPConn) {
	w.mutex.Lock()
	delete(w.open, c)
	w.mutex.Unlock()
	_ = c.Close()
}

// pass copies one direction. The end of one side ends the other; a reset stays one.
func (w *Wire) pass(to, from *net.TCPConn, answers bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		w.hold(answers)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				abort(from)
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = to.CloseWrite()
			return
		case err != nil:
			abort(to)
			return
		}
	}
}

// hold waits while the mode keeps a direction from passing.
func (w *Wire) hold(answers bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.mode == Slow {
		w.mutex.Unlock()
		time.Sleep(slowDelay)
		w.mutex.Lock()
	}
	for w.mode == Silent || (w.mode == OneWay && answers) {
		w.changed.Wait()
	}
}
