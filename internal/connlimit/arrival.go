package connlimit

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Arrival is what had arrived on a connection when it was accepted.
type Arrival struct {
	// Client is the address of the client.
	Client string
	// Known reports that the other fields are set: not every kernel gives them.
	Known bool
	// Unread is the number of bytes that had arrived.
	Unread int
	// Waited is the time since the last of them arrived, or since the connection was established.
	Waited time.Duration
}

// arrivalOf returns what has arrived on a connection that nothing was read from.
func arrivalOf(accepted net.Conn) Arrival {
	a := Arrival{Client: accepted.RemoteAddr().String()}
	socket, isSocket := accepted.(syscall.Conn)
	if !isSocket {
		return a
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return a
	}
	_ = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		unread, err := unix.IoctlGetInt(int(descriptor), unix.TIOCINQ)
		if err != nil {
			return
		}
		a.Known, a.Unread = true, unread
		a.Waited = time.Duration(info.Last_data_recv) * time.Millisecond
	})
	return a
}
