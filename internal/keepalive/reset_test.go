package keepalive

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (near *conn, far *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { dialed.Close() })
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { accepted.Close() })
	return &conn{Conn: dialed}, accepted.(*net.TCPConn)
}

// TestResetIsNotEndOfData guards against a response without a length that is short and looks complete: the server resets the
// connection while the request is written, and a write takes the error away from the next read.
func TestResetIsNotEndOfData(t *testing.T) {
	for name, end := range map[string]func(far *net.TCPConn) error{
		"reset":                  func(far *net.TCPConn) error { return far.SetLinger(0) },
		"close with data unread": func(*net.TCPConn) error { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connect(t)
			_, err := near.Write([]byte("request"))
			require.NoError(t, err)
			require.NoError(t, end(far))
			require.NoError(t, far.Close())
			for err == nil {
				_, err = near.Write([]byte("body"))
			}
			_, err = near.Read(make([]byte, 1))
			require.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
	t.Run("end of data", func(t *testing.T) {
		near, far := connect(t)
		require.NoError(t, far.CloseWrite())
		_, err := near.Write([]byte("request"))
		require.NoError(t, err)
		_, err = near.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	})
}
