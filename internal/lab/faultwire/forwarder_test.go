package faultwire

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startEchoServer starts a server that echoes each line and also sends it to the channel.
func echo(t *testing.T) (address string, lines chan string) {
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

func TestAWireHoldsBackWhatItsModeSays(t *testing.T) {
	address, lines := echo(t)
	wire, err := New(address)
	require.NoError(t, err)
	defer wire.Close()
	c, err := net.Dial("tcp", wire.Address())
	require.NoError(t, err)
	answers := bufio.NewReader(c)
	say := func(text string) {
		_, err := io.WriteString(c, text+"\n")
		require.NoError(t, err)
	}
	hear := func() string {
		line, err := answers.ReadString('\n')
		require.NoError(t, err)
		return line
	}
	say("a")
	require.Equal(t, "a", <-lines)
	require.Equal(t, "a\n", hear())

	wire.Set(OneWay)
	say("b")
	require.Equal(t, "b", <-lines, "requests are forwarded")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = answers.ReadString('\n')
	require.Error(t, err, "responses are withheld")
	require.NoError(t, c.SetReadDeadline(time.Time{}))
	wire.Set(Sound)
	require.Equal(t, "b\n", hear())

	wire.Set(Silent)
	say("c")
	wire.Set(Sound)
	require.Equal(t, "c\n", hear())

	wire.Set(Reset)
	_, err = answers.ReadString('\n')
	require.Error(t, err)
	again, err := net.Dial("tcp", wire.Address())
	if err == nil {
		_, err = again.Read(make([]byte, 1))
	}
	require.Error(t, err)
}
