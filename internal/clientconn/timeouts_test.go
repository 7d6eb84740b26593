package clientconn

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request that arrived in time is read, even if the process finds out first that the deadline has passed.
func TestDataThatArrivedInTimeIsRead(t *testing.T) {
	for _, waiting := range []Waiting{WaitingForHead, WaitingIdle} {
		t.Run(string(waiting), func(t *testing.T) {
			conn, client := acceptOne(t)
			timedOut := make(chan Waiting, 1)
			conn.timeouts = func() Timeouts { return Timeouts{Head: 50 * time.Millisecond, Idle: 50 * time.Millisecond} }
			conn.onTimeout = func(waiting Waiting) { timedOut <- waiting }
			if waiting == WaitingIdle {
				TrackState(conn, http.StateIdle)
			}
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
			_, err := client.Write([]byte("GET"))
			require.NoError(t, err)
			time.Sleep(200 * time.Millisecond)
			buffer := make([]byte, 16)
			n, err := conn.Read(buffer)
			require.NoError(t, err)
			require.Equal(t, "GET", string(buffer[:n]))
			_, err = conn.Read(buffer)
			require.True(t, isTimeout(err), err)
			require.Equal(t, waiting, <-timedOut)
		})
	}
}

// A request that has arrived on a connection at rest is read, even if the node ends the connection first.
func TestDataThatArrivedBeforeEndOfIdleIsRead(t *testing.T) {
	conn, client := acceptOne(t)
	conn.onTimeout = func(waiting Waiting) { t.Errorf("a connection that the node ended counts as timed out: %s", waiting) }
	TrackState(conn, http.StateIdle)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err := client.Write([]byte("GET"))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	conn.EndIdle()
	buffer := make([]byte, 16)
	n, err := conn.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "GET", string(buffer[:n]))
	conn.EndIdle()
	_, err = conn.Read(buffer)
	require.True(t, isTimeout(err), err)
}

// lateConn is a connection whose reader is held up after a read.
type lateConn struct {
	*net.TCPConn
	afterRead func()
}

func (l *lateConn) Read(p []byte) (int, error) {
	n, err := l.TCPConn.Read(p)
	l.afterRead()
	return n, err
}

// A request that arrives after the last deadline of a connection at rest is read, if the connection is still open then.
func TestDataThatArrivesBeforeCloseIsRead(t *testing.T) {
	for _, ended := range []bool{false, true} {
		conn, client := acceptOne(t)
		conn.timeouts = func() Timeouts { return Timeouts{Head: time.Minute, Idle: 50 * time.Millisecond} }
		reads := 0
		conn.Conn = &lateConn{TCPConn: conn.Conn.(*net.TCPConn), afterRead: func() {
			if reads++; reads == 2 {
				_, err := client.Write([]byte("GET"))
				require.NoError(t, err)
				time.Sleep(50 * time.Millisecond)
			}
		}}
		TrackState(conn, http.StateIdle)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
		if ended {
			conn.EndIdle()
		}
		buffer := make([]byte, 16)
		n, err := conn.Read(buffer)
		require.NoError(t, err)
		require.Equal(t, "GET", string(buffer[:n]))
		_, err = conn.Read(buffer)
		require.True(t, isTimeout(err), err)
	}
}
