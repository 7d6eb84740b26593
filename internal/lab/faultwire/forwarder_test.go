package faultwire

import (
	"bufio"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startEchoServer starts a server that echoes each line and also sends it to the channel.
func startEchoServer(t *testing.T) (address string, lines chan string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	lines = make(chan string, 10)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				scanner := bufio.NewScanner(c)
				for scanner.Scan() {
					lines <- scanner.Text()
					_, _ = io.WriteString(c, scanner.Text()+"\n")
				}
			}()
		}
	}()
	return listener.Addr().String(), lines
}

func TestForwarderAppliesMode(t *testing.T) {
	address, lines := startEchoServer(t)
	forwarder, err := New(address)
	require.NoError(t, err)
	defer forwarder.Close()
	c, err := net.Dial("tcp", forwarder.Address())
	require.NoError(t, err)
	responses := bufio.NewReader(c)
	send := func(text string) {
		_, err := io.WriteString(c, text+"\n")
		require.NoError(t, err)
	}
	receive := func() string {
		line, err := responses.ReadString('\n')
		require.NoError(t, err)
		return line
	}
	send("a")
	require.Equal(t, "a", <-lines)
	require.Equal(t, "a\n", receive())

	forwarder.SetMode(ModeHoldResponses)
	send("b")
	require.Equal(t, "b", <-lines, "requests are forwarded")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = responses.ReadString('\n')
	require.Error(t, err, "responses are withheld")
	require.NoError(t, c.SetReadDeadline(time.Time{}))
	forwarder.SetMode(ModeForward)
	require.Equal(t, "b\n", receive())

	forwarder.SetMode(ModeBlackhole)
	send("c")
	forwarder.SetMode(ModeForward)
	require.Equal(t, "c\n", receive())

	forwarder.SetMode(ModeReset)
	_, err = responses.ReadString('\n')
	require.Error(t, err)
	again, err := net.Dial("tcp", forwarder.Address())
	if err == nil {
		_, err = again.Read(make([]byte, 1))
	}
	require.Error(t, err)
}

// Silenced connections get nothing more in either mode, and new ones are forwarded.
func TestForwarderSilencesOpenConnections(t *testing.T) {
	address, lines := startEchoServer(t)
	forwarder, err := New(address)
	require.NoError(t, err)
	defer forwarder.Close()
	dial := func(text string) net.Conn {
		c, err := net.Dial("tcp", forwarder.Address())
		require.NoError(t, err)
		_, err = io.WriteString(c, text+"\n")
		require.NoError(t, err)
		require.Equal(t, text, <-lines)
		response, err := bufio.NewReader(c).ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, text+"\n", response)
		return c
	}
	silent := dial("a")
	forwarder.SilenceOpen()
	_, err = io.WriteString(silent, "b\n")
	require.NoError(t, err)
	forwarder.SetMode(ModeForward)
	dial("c")
	require.NoError(t, silent.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = silent.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Empty(t, lines)
}

// Open connections go on while new ones are refused.
func TestForwarderRefusesNewConnections(t *testing.T) {
	address, lines := startEchoServer(t)
	forwarder, err := New(address)
	require.NoError(t, err)
	defer forwarder.Close()
	open, err := net.Dial("tcp", forwarder.Address())
	require.NoError(t, err)
	_, err = io.WriteString(open, "a\n")
	require.NoError(t, err)
	require.Equal(t, "a", <-lines)

	forwarder.SetMode(ModeRefuseNew)
	_, err = net.Dial("tcp", forwarder.Address())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	_, err = io.WriteString(open, "b\n")
	require.NoError(t, err)
	require.Equal(t, "b", <-lines)

	forwarder.SetMode(ModeForward)
	again, err := net.Dial("tcp", forwarder.Address())
	require.NoError(t, err)
	_, err = io.WriteString(again, "c\n")
	require.NoError(t, err)
	require.Equal(t, "c", <-lines)
}
