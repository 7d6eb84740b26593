package main

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// These tests guard against connections of clients that are closed sooner, or kept longer, than the declaration says.

// declareLimits writes a declaration with limits, and waits until it is in force.
func (fixture *fixture) declareLimits(limits standin.Limits) {
	fixture.version++
	document := newDocument(fixture.version, key)
	limits.MaxHeaderBytes, limits.MaxBodyBytes = document.Limits.MaxHeaderBytes, document.Limits.MaxBodyBytes
	document.Limits = limits
	fixture.store.Put(standin.KeyConfiguration, document)
	fixture.waitUntil(func() bool { return fixture.process.replica.Load().Snapshot.Version == fixture.version })
}

func newTimeoutFixture(t *testing.T, limits standin.Limits) *fixture {
	fixture := newFixture(t).serve(plainServer("i-1", standin.Respond(http.StatusOK, "done")))
	fixture.declareLimits(limits)
	return fixture
}

// awaitClose returns how long it takes until the node closes the connection.
func (c *clientConnection) awaitClose() time.Duration {
	began := time.Now()
	require.NoError(c.t, c.SetReadDeadline(began.Add(waitTimeout)))
	_, err := c.reader.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
	return time.Since(began)
}

// Connections rest for as long as the declaration says, and no longer.
func TestIdleConnectionsFollowDeclaration(t *testing.T) {
	t.Parallel()
	fixture := newTimeoutFixture(t, standin.Limits{IdleTimeout: 1000})
	client := fixture.connect()
	for range 3 {
		client.writeRequest(fixture, "/once/")
		require.Equal(t, http.StatusOK, client.readResponse().status)
		time.Sleep(800 * time.Millisecond)
	}
	require.Less(t, client.awaitClose(), 3*time.Second)
}

// A connection that rests while the declaration allows a longer rest is still there for who goes by the newer one.
func TestRestingConnectionsFollowNewerDeclaration(t *testing.T) {
	t.Parallel()
	fixture := newTimeoutFixture(t, standin.Limits{IdleTimeout: 1000})
	client := fixture.connect()
	client.writeRequest(fixture, "/once/")
	require.Equal(t, http.StatusOK, client.readResponse().status)
	fixture.declareLimits(standin.Limits{IdleTimeout: 4000})
	time.Sleep(2500 * time.Millisecond)
	client.writeRequest(fixture, "/once/")
	require.Equal(t, http.StatusOK, client.readResponse().status)
	require.Greater(t, client.awaitClose(), 3*time.Second)
}

// A head may take as long as the declaration says: a shorter time than without one, or a longer one.
func TestHeadsFollowDeclaration(t *testing.T) {
	for timeout, served := range map[int]bool{800: false, 9000: true} {
		t.Run(fmt.Sprint(timeout, " ms"), func(t *testing.T) {
			t.Parallel()
			fixture := newTimeoutFixture(t, standin.Limits{HeaderTimeout: timeout})
			client := fixture.connect()
			_, err := fmt.Fprintf(client, "POST /once/ HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", host, key)
			require.NoError(t, err)
			if !served {
				require.Less(t, client.awaitClose(), 3*time.Second)
				return
			}
			time.Sleep(readHeaderTimeout + time.Second)
			_, err = fmt.Fprintf(client, "%s: slow\r\nContent-Length: 0\r\n\r\n", standin.HeaderRequestID)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, client.readResponse().status)
		})
	}
}
