// Package faultwire implements a loopback TCP forwarder that injects network faults:
// it can delay, reset or stall connections, or withhold responses only.
package faultwire

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/lab/address"
)

// Mode determines how a forwarder treats connections.
type Mode int

// The modes of a forwarder.
const (
	// ModeForward forwards all data.
	ModeForward Mode = iota
	// ModeDelay forwards all data after forwardDelay.
	ModeDelay
	// ModeReset resets all open connections and every new one.
	ModeReset
	// ModeBlackhole accepts connections and withholds the data of both directions.
	ModeBlackhole
	// ModeHoldResponses forwards requests and withholds responses.
	ModeHoldResponses
	// ModeRefuse resets all open connections and refuses new ones.
	ModeRefuse
	// ModeRefuseNew keeps all open connections and refuses new ones.
	ModeRefuseNew
)

// String returns the name of the mode.
func (m Mode) String() string {
	return [...]string{"sound", "slow", "reset", "silent", "one way", "refused", "refused to new connections"}[m]
}

const (
	forwardDelay = 120 * time.Millisecond
	bufferSize   = 16 << 10
)

// Forwarder forwards TCP connections to one address.
type Forwarder struct {
	target  string
	address string

	mutex sync.Mutex
	// listener is closed in ModeRefuse and ModeRefuseNew.
	listener    net.Listener
	changed     *sync.Cond
	mode        Mode
	connections map[*net.TCPConn]bool
	// silent holds the connections whose data is withheld for good.
	silent map[*net.TCPConn]bool
}

// New starts a forwarder to an address, in ModeForward. Its own address is one that no outgoing connection takes while the
// forwarder refuses connections.
func New(target string) (*Forwarder, error) {
	listener, err := net.Listen("tcp", address.Free())
	if err != nil {
		return nil, errors.Annotate(err, "cannot listen on loopback")
	}
	f := &Forwarder{listener: listener, address: listener.Addr().String(), target: target, connections: map[*net.TCPConn]bool{}, silent: map[*net.TCPConn]bool{}}
	f.changed = sync.NewCond(&f.mutex)
	go f.accept(listener)
	return f, nil
}

// Address returns the address on which the forwarder listens.
func (f *Forwarder) Address() string { return f.address }

// SetMode changes the mode. Withheld data is forwarded if its connection is still open
// and the new mode permits it.
func (f *Forwarder) SetMode(mode Mode) {
	f.mutex.Lock()
	f.listen(mode != ModeRefuse && mode != ModeRefuseNew)
	f.mode = mode
	reset := []*net.TCPConn{}
	if mode == ModeReset || mode == ModeRefuse {
		for c := range f.connections {
			reset = append(reset, c)
		}
	}
	f.changed.Broadcast()
	f.mutex.Unlock()
	for _, c := range reset {
		abort(c)
	}
}

// SilenceOpen withholds all further data of the connections that are open now, in both directions, and lets neither side
// learn of the other's end. New connections are not affected.
func (f *Forwarder) SilenceOpen() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for c := range f.connections {
		f.silent[c] = true
	}
}

// isSilent reports whether a connection was silenced.
func (f *Forwarder) isSilent(c *net.TCPConn) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.silent[c]
}

// listen opens or closes the listener. The caller holds the mutex.
func (f *Forwarder) listen(open bool) {
	switch {
	case !open:
		_ = f.listener.Close()
	case f.mode == ModeRefuse || f.mode == ModeRefuseNew:
		if listener, err := net.Listen("tcp", f.address); err == nil {
			f.listener = listener
			go f.accept(listener)
		}
	}
}

// Close stops the forwarder and resets its connections.
func (f *Forwarder) Close() { f.SetMode(ModeRefuse) }

func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (f *Forwarder) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go f.forward(c.(*net.TCPConn))
	}
}

// forward forwards one connection until it is closed.
func (f *Forwarder) forward(caller *net.TCPConn) {
	if !f.track(caller) {
		abort(caller)
		return
	}
	defer f.untrack(caller)
	c, err := net.Dial("tcp", f.target)
	if err != nil {
		abort(caller)
		return
	}
	server := c.(*net.TCPConn)
	if !f.track(server) {
		abort(server)
		return
	}
	defer f.untrack(server)
	var done sync.WaitGroup
	done.Go(func() { f.copyDirection(server, caller, false) })
	done.Go(func() { f.copyDirection(caller, server, true) })
	done.Wait()
}

func (f *Forwarder) track(c *net.TCPConn) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.mode == ModeReset || f.mode == ModeRefuse {
		return false
	}
	f.connections[c] = true
	return true
}

func (f *Forwarder) untrack(c *net.TCPConn) {
	f.mutex.Lock()
	delete(f.connections, c)
	delete(f.silent, c)
	f.mutex.Unlock()
	_ = c.Close()
}

// copyDirection copies one direction of a connection. It propagates a close as a half-close
// and a reset as a reset.
func (f *Forwarder) copyDirection(to, from *net.TCPConn, responses bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		f.awaitMode(responses)
		if f.isSilent(from) {
			if err != nil {
				return
			}
			continue
		}
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
func (f *Forwarder) awaitMode(responses bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.mode == ModeDelay {
		f.mutex.Unlock()
		time.Sleep(forwardDelay)
		f.mutex.Lock()
	}
	for f.mode == ModeBlackhole || (f.mode == ModeHoldResponses && responses) {
		f.changed.Wait()
	}
}
