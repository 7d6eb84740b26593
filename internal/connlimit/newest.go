package connlimit

import (
	"container/list"
	"net"
	"sync"
)

// NewestListener closes its oldest connection when there are too many: where each request is short, connections that rest must
// not keep new ones away.
type NewestListener struct {
	net.Listener
	// Limit is the maximum number of open connections.
	Limit int
	// OnClosed is called for each connection that is closed for a newer one. It must not block.
	OnClosed func()

	mutex sync.Mutex
	// open holds the open connections, oldest first.
	open list.List
}

// Accept returns the next connection.
func (l *NewestListener) Accept() (net.Conn, error) {
	accepted, err := accept(l.Listener)
	if err != nil {
		return nil, err
	}
	c := &newestConn{Conn: accepted, listener: l}
	if oldest := l.add(c); oldest != nil {
		l.OnClosed()
		_ = oldest.Close()
	}
	return c, nil
}

// add adds a connection, and returns the one that must be closed for it, or nil.
func (l *NewestListener) add(c *newestConn) *newestConn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c.element = l.open.PushBack(c)
	if l.open.Len() <= l.Limit {
		return nil
	}
	return l.open.Front().Value.(*newestConn)
}

// newestConn is a connection of a NewestListener.
type newestConn struct {
	net.Conn
	listener *NewestListener
	element  *list.Element
	once     sync.Once
}

// Close closes the connection.
func (c *newestConn) Close() error {
	c.once.Do(func() {
		c.listener.mutex.Lock()
		defer c.listener.mutex.Unlock()
		c.listener.open.Remove(c.element)
	})
	return c.Conn.Close()
}
