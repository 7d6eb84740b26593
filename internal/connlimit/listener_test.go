package connlimit

import (
	"bytes"
	"log"
	"net"
	"net/http"
	"os"
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
	for _, err := range []error{syscall.ENETDOWN, syscall.ENOBUFS, syscall.EPROTO, syscall.EMFILE} {
		t.Run(err.Error(), func(t *testing.T) {
			listener, listenErr := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, listenErr)
			logged := &bytes.Buffer{}
			server := &http.Server{Handler: http.NotFoundHandler(), ErrorLog: log.New(logged, "", 0)}
			done := make(chan error, 1)
			go func() {
				done <- server.Serve(&Listener{Listener: &failingListener{Listener: listener, err: err}, Gate: NewGate(0), OnTurnedAway: func(Reason) {}})
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
