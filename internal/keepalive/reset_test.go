package keepalive

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/cloverrail/cloverrail/internal/outbound"
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
	return newConn(dialed), accepted.(*net.TCPConn)
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

// TestTimeoutIsNotEndOfData guards against a response without a length that is short and looks complete: the kernel gives the
// connection up while the request is written, and a write takes the error away from the next read.
func TestTimeoutIsNotEndOfData(t *testing.T) {
	near, _ := connect(t)
	raw, err := near.Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(descriptor uintptr) {
		err = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 50)
	}))
	require.NoError(t, near.Conn.SetWriteDeadline(time.Now().Add(10*time.Second)))
	for err == nil {
		_, err = near.Write(make([]byte, 1<<20))
	}
	require.ErrorIs(t, err, syscall.ETIMEDOUT)
	_, err = near.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, io.EOF)
}

// TestResetAfterEndOfDataIsNotFailure guards against failures in place of whole responses without a length: the server ends the
// connection before it has read a long request, so that the rest of the request is answered with a reset.
func TestResetAfterEndOfDataIsNotFailure(t *testing.T) {
	for name, write := range map[string]func(near *conn){
		"seen by a write": func(near *conn) {
			for err := error(nil); err == nil; {
				_, err = near.Write([]byte("body"))
			}
		},
		"not seen by a write": func(near *conn) { _, _ = near.Write([]byte("body")) },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connect(t)
			_, err := far.Write([]byte("response"))
			require.NoError(t, err)
			require.NoError(t, far.Close())
			write(near)
			require.Eventually(t, func() bool {
				state, err := outbound.TCPState(near.Conn)
				return err == nil && state == outbound.StateClosed
			}, 5*time.Second, time.Millisecond)
			response, err := io.ReadAll(near)
			require.NoError(t, err)
			require.Equal(t, "response", string(response))
		})
	}
}
