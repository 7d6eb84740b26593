package connlimit

import (
	"bytes"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// failingListener fails to accept its first connection.
type failingListener struct {
	net.Listener
	err error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if err := l.err; err != nil {
		l.err = nil
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// A node goes on to serve after an error of accepting one connection.
func TestServerOutlivesErrorOfAccept(t *testing.T) {
	for i, err := range slices.Repeat([]error{syscall.ENETDOWN, syscall.ENOBUFS, syscall.EPROTO, syscall.EMFILE}, 2) {
		limited := i < 4
		t.Run(fmt.Sprintf("%s, limited %t", err, limited), func(t *testing.T) {
			listener, listenErr := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, listenErr)
			logged := &bytes.Buffer{}
			server := &http.Server{Handler: http.NotFoundHandler(), ErrorLog: log.New(logged, "", 0)}
			done := make(chan error, 1)
			go func() {
				failing := &failingListener{Listener: listener, err: err}
				if limited {
					done <- server.Serve(&Listener{Listener: failing, Gate: NewGate(0), OnTurnedAway: func(Reason, Arrival) {}})
				} else {
					done <- server.Serve(&NewestListener{Listener: failing, Limit: 4, OnClosed: func() {}})
				}
			}()
			response, getErr := http.Get("http://" + listener.Addr().String())
			require.NoError(t, getErr)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusNotFound, response.StatusCode)
			require.NoError(t, listener.Close())
			require.ErrorIs(t, <-done, net.ErrClosed)
			require.Contains(t, logged.String(), err.Error())
		})
	}
}
