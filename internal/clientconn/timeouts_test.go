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

// A request that has arrived on a connection at rest is read, even if the node ends such connections first.
func TestEndUnreadReadsDataThatArrived(t *testing.T) {
	conn, client := acceptOne(t)
	TrackState(conn, http.StateIdle)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err := client.Write([]byte("GET"))
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	conn.EndUnread(WaitingIdle)
	time.Sleep(2 * finalReadTimeout)
	buffer := make([]byte, 1)
	for _, want := range "GET" {
		n, err := conn.Read(buffer)
		require.NoError(t, err)
		require.Equal(t, string(want), string(buffer[:n]))
		conn.EndUnread(WaitingIdle)
	}
}

// A connection at rest on which nothing has arrived ends, and not for its client's silence.
func TestEndUnreadEndsConnectionAtRest(t *testing.T) {
	conn, _ := acceptOne(t)
	conn.onTimeout = func(waiting Waiting) { t.Error("timed out", waiting) }
	TrackState(conn, http.StateIdle)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
	conn.EndUnread(WaitingIdle)
	_, err := conn.Read(make([]byte, 1))
	require.True(t, isTimeout(err), err)
}

// pausedReader is a connection whose process may be paused before it reads.
type pausedReader struct {
	*net.TCPConn
	before func()
}

func (p *pausedReader) Read(buffer []byte) (int, error) {
	p.before()
	return p.TCPConn.Read(buffer)
}

// Data that arrived in time is read, however long the process is paused before it reads.
func TestDataIsReadByPausedProcess(t *testing.T) {
	conn, client := acceptOne(t)
	conn.timeouts = func() Timeouts { return Timeouts{Head: 50 * time.Millisecond} }
	reads := 0
	conn.Conn = &pausedReader{TCPConn: conn.Conn.(*net.TCPConn), before: func() {
		if reads++; reads < 4 {
			time.Sleep(2 * finalReadTimeout)
		}
	}}
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err := client.Write([]byte("GET"))
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	buffer := make([]byte, 16)
	n, err := conn.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "GET", string(buffer[:n]))
}

// A client that sends on without end is not read beyond what had arrived when the wait ended.
func TestDataAfterDeadlineIsNotRead(t *testing.T) {
	conn, client := acceptOne(t)
	conn.timeouts = func() Timeouts { return Timeouts{Head: 50 * time.Millisecond} }
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
	go func() {
		for {
			if _, err := client.Write([]byte("X")); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	startedAt := time.Now()
	for {
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			require.True(t, isTimeout(err), err)
			break
		}
		require.Less(t, time.Since(startedAt), waitTimeout)
		time.Sleep(2 * time.Millisecond)
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
	conn.EndUnread(WaitingIdle)
	buffer := make([]byte, 16)
	n, err := conn.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "GET", string(buffer[:n]))
	conn.EndUnread(WaitingIdle)
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
			conn.EndUnread(WaitingIdle)
		}
		buffer := make([]byte, 16)
		n, err := conn.Read(buffer)
		require.NoError(t, err)
		require.Equal(t, "GET", string(buffer[:n]))
		_, err = conn.Read(buffer)
		require.True(t, isTimeout(err), err)
	}
}
