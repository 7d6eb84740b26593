// Package faultwire implements a loopback TCP forwarder that injects network faults:
// it can delay, reset or stall connections, or withhold responses only.
package faultwire

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Mode determines how a forwarder treats connections.
type Mode int

// The modes of a forwarder.
const (
	// ModeForward forwards all data.
	Sound Mode = iota
	// ModeDelay forwards all data after forwardDelay.
	Slow
	// ModeReset resets all open connections and every new one.
	Reset
	// ModeBlackhole accepts connections and withholds the data of both directions.
	Silent
	// ModeHoldResponses forwards requests and withholds responses.
	OneWay
)

// String returns the name of the mode.
func (m Mode) String() string {
	return [...]string{"sound", "slow", "reset", "silent", "one way"}[m]
}

const (
	slowDelay  = 120 * time.Millisecond
	bufferSize = 16 << 10
)

// Forwarder forwards TCP connections to one address.
type Wire struct {
	listener net.Listener
	target   string

	mutex   sync.Mutex
	changed *sync.Cond
	mode    Mode
	open    map[*net.TCPConn]bool
}

// New starts a forwarder to an address, in ModeForward.
func New(target string) (*Wire, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "cannot listen on loopback")
	}
	w := &Wire{listener: listener, target: target, open: map[*net.TCPConn]bool{}}
	w.changed = sync.NewCond(&w.mutex)
	go w.accept()
	return w, nil
}

// Address returns the address on which the forwarder listens.
func (w *Wire) Address() string { return w.listener.Addr().String() }

// SetMode changes the mode. Withheld data is forwarded if its connection is still open
// and the new mode permits it.
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

// Close stops the forwarder and resets its connections.
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

// forward forwards one connection until it is closed.
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

// copyDirection copies one direction of a connection. It propagates a close as a half-close
// and a reset as a reset.
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

// awaitMode delays the data of a direction, or blocks while it is withheld, as the mode
// requires.
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
