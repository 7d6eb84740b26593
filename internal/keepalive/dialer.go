package keepalive

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probeInterval is the idle time before the first keep-alive probe of TCP, and the time between two.
const probeInterval = time.Second

// NewDialer returns a dialer whose connections break once the peer has been silent for longer than
// tolerance, whether sent data or keep-alive probes stay unacknowledged, and at most 3*probeInterval
// later. connectTimeout bounds the time to connect.
//
// On Linux, TCP_USER_TIMEOUT takes the place of the number of probes. It is compared with the time
// since the last packet of the peer, which includes the idle time before the first probe, and the
// connection breaks instead of sending the probe that is due then.
func NewDialer(connectTimeout, tolerance time.Duration) *net.Dialer {
	userTimeout := tolerance + 2*probeInterval
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount(userTimeout)},
		Control: func(_, _ string, connection syscall.RawConn) error {
			var sockoptErr error
			err := connection.Control(func(descriptor uintptr) {
				sockoptErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
}

// probeCount returns the number of unanswered probes that fit into the user timeout, for systems that
// count them.
func probeCount(userTimeout time.Duration) int {
	return int((userTimeout + probeInterval - 1) / probeInterval)
}
