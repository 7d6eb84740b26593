package main

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// linkMode is how the links between a node and some servers are partitioned.
type linkMode int

const (
	linksUp linkMode = iota
	// linksHang drops all packets.
	linksHang
	// linksReset resets open connections and refuses new ones.
	linksReset
	// linksRefuseNew refuses new connections, while open ones stay up.
	linksRefuseNew
	// linksAcceptAndReset resets open connections, and accepts new ones and resets them at once, as
	// linksResetAfterHead does once the head of a request has arrived, and linksResetLater after resetDelay.
	linksAcceptAndReset
	linksResetAfterHead
	linksResetLater
	// linksAcceptAndHang accepts new connections and drops all packets after that.
	linksAcceptAndHang
)

// resetDelay is how long linksResetLater leaves a connection open.
const resetDelay = 200 * time.Millisecond

var partitionModes = map[string]linkMode{"hanging": linksHang, "reset": linksReset, "new connections refused": linksRefuseNew}

// acceptingModes are the partitions by which connections are accepted, and no byte of a server arrives.
var acceptingModes = map[string]linkMode{
	"reset at once": linksAcceptAndReset, "reset after the head": linksResetAfterHead, "reset later": linksResetLater, "silent": linksAcceptAndHang,
}

// serverLinks partitions one node from servers.
type serverLinks struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mutex sync.Mutex
	mode  linkMode
	// cut holds the addresses of the servers that are partitioned; nil means all.
	cut   map[string]bool
	open  map[*linkConn]bool
	dials int
}

// newServerLinks intercepts the connections of a node to servers. It must be called before the
// node opens any.
func newServerLinks(n *fixture) *serverLinks {
	links := &serverLinks{dial: n.process.serverClient.Dial, open: map[*linkConn]bool{}}
	n.process.serverClient.Dial = links.connect
	return links
}

// set changes the mode for the servers at the given addresses, or for all servers.
func (l *serverLinks) set(mode linkMode, addresses ...string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.mode, l.cut = mode, nil
	if len(addresses) > 0 {
		l.cut = map[string]bool{}
	}
	for _, address := range addresses {
		l.cut[address] = true
	}
	for c := range l.open {
		switch {
		case !l.affects(c.RemoteAddr().String()):
		case mode == linksHang || mode == linksAcceptAndHang:
			// What the partition held up stays lost after it.
			c.hang()
		case mode != linksRefuseNew && mode != linksUp:
			_ = c.tcp.SetLinger(0)
			c.reset.Do(func() { close(c.wasReset) })
			_ = c.tcp.Close()
		}
	}
}

// affects reports whether the server at an address is partitioned. The caller holds the mutex.
func (l *serverLinks) affects(address string) bool {
	return l.mode != linksUp && (l.cut == nil || l.cut[address])
}

// dialCount returns the number of connections that the node tried to open.
func (l *serverLinks) dialCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.dials
}

func (l *serverLinks) connect(ctx context.Context, network, address string) (net.Conn, error) {
	l.mutex.Lock()
	l.dials++
	mode, affected := l.mode, l.affects(address)
	l.mutex.Unlock()
	failed := func(err error) (net.Conn, error) { return nil, &net.OpError{Op: "dial", Net: network, Err: err} }
	switch {
	case affected && mode == linksHang:
		select {
		case <-ctx.Done():
			return failed(ctx.Err())
		case <-time.After(connectTimeout):
			return failed(os.ErrDeadlineExceeded)
		}
	case affected && mode >= linksAcceptAndReset:
		return l.connectToGateway(ctx, network, mode)
	case affected:
		return failed(os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	plain, err := l.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{tcp: plain.(*net.TCPConn), links: l, closed: make(chan struct{}), hung: make(chan struct{}), wasReset: make(chan struct{})}
	c.Conn = c.tcp
	l.mutex.Lock()
	l.open[c] = true
	l.mutex.Unlock()
	return c, nil
}

// connectToGateway connects to a gateway that accepts connections in the place of a server, and ends them as the
// mode says.
func (l *serverLinks) connectToGateway(ctx context.Context, network string, mode linkMode) (net.Conn, error) {
	gateway, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer gateway.Close()
	c, err := l.dial(ctx, network, gateway.Addr().String())
	if err != nil {
		return nil, err
	}
	accepted, err := gateway.Accept()
	if err != nil {
		return nil, err
	}
	go endAtGateway(accepted.(*net.TCPConn), mode)
	return c, nil
}

func endAtGateway(accepted *net.TCPConn, mode linkMode) {
	buffer := make([]byte, 1<<10)
	switch mode {
	case linksResetAfterHead:
		_, _ = accepted.Read(buffer)
	case linksResetLater:
		time.Sleep(resetDelay)
	case linksAcceptAndHang:
		for {
			if _, err := accepted.Read(buffer); err != nil {
				break
			}
		}
	}
	_ = accepted.SetLinger(0)
	_ = accepted.Close()
}

// linkConn is a connection that can be partitioned.
type linkConn struct {
	net.Conn
	tcp                     *net.TCPConn
	links                   *serverLinks
	closing, hanging, reset sync.Once
	closed, hung, wasReset  chan struct{}

	mutex sync.Mutex
	// deadline ends reads of a connection that hangs; nil means that there is none.
	deadline chan struct{}
	timer    *time.Timer
}

func (c *linkConn) hang() { c.hanging.Do(func() { close(c.hung) }) }

// Read returns nothing more from the moment at which the connection hangs until the node closes
// it.
func (c *linkConn) Read(p []byte) (int, error) {
	type result struct {
		n   int
		err error
	}
	buffer, done := make([]byte, len(p)), make(chan result, 1)
	go func() {
		n, err := c.Conn.Read(buffer)
		done <- result{n, err}
	}()
	select {
	case r := <-done:
		select {
		case <-c.hung:
		default:
			if r.err != nil && isDone(c.wasReset) {
				r.err = syscall.ECONNRESET
			}
			return copy(p, buffer[:r.n]), r.err
		}
	case <-c.hung:
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-c.readDeadline():
		return 0, os.ErrDeadlineExceeded
	}
}

// SetReadDeadline also ends reads of a connection that hangs, once it is over.
func (c *linkConn) SetReadDeadline(at time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
	over := make(chan struct{})
	previous := c.deadline
	c.deadline = over
	c.timer = time.AfterFunc(time.Until(at), func() { close(over) })
	if previous != nil && !isDone(previous) && !at.After(time.Now()) {
		close(previous)
	}
	return c.Conn.SetReadDeadline(at)
}

func (c *linkConn) readDeadline() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.deadline == nil {
		c.deadline = make(chan struct{})
	}
	return c.deadline
}

// CloseWrite is lost on a connection that hangs.
func (c *linkConn) CloseWrite() error {
	if isDone(c.hung) {
		return nil
	}
	return c.tcp.CloseWrite()
}

// SyscallConn gives access to the socket, whose state shows no close that was lost.
func (c *linkConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

func isDone(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// Write discards what is written to a connection that hangs.
func (c *linkConn) Write(p []byte) (int, error) {
	if isDone(c.hung) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *linkConn) Close() error {
	c.closing.Do(func() {
		close(c.closed)
		c.links.mutex.Lock()
		delete(c.links.open, c)
		c.links.mutex.Unlock()
	})
	return c.Conn.Close()
}
