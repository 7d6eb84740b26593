//go:build crowd

package main

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/forward"
	"github.com/cloverrail/cloverrail/internal/origin"
	"github.com/cloverrail/cloverrail/platform/standin"
)

// openEndTimeout is how long a connection with an open body may stay open.
const openEndTimeout = 30 * time.Second

// declareBodies writes a declaration by which attempts of other nodes have up to 4 MB, and waits until it is in force.
func (p *program) declareBodies() {
	document := newDocument(1, key)
	document.Limits = standin.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 4_000_000}
	p.store.Put(standin.KeyConfiguration, document)
	require.Eventually(p.t, func() bool { return p.answers() }, waitTimeout, 20*time.Millisecond)
}

// wireAttempt has the fields of the message of package forward that these tests send.
type wireAttempt struct {
	Format int
	Header http.Header
	Body   []byte
}

func encodeAttempt(t *testing.T, attempt wireAttempt) []byte {
	var encoded bytes.Buffer
	require.NoError(t, gob.NewEncoder(&encoded).Encode(attempt))
	return encoded.Bytes()
}

// attemptWithEntries returns a message whose headers have the given encodings of their number and of their entries.
func attemptWithEntries(t *testing.T, number, entries string) []byte {
	message := encodeAttempt(t, wireAttempt{Format: 1, Header: http.Header{"A": {"b"}}})
	before, after, found := bytes.Cut(message, []byte("\x01\x01A\x01\x01b"))
	require.True(t, found)
	types, value := before[:bytes.LastIndexByte(before, 0xff)-1], before[bytes.LastIndexByte(before, 0xff):]
	value = slices.Concat(value, []byte(number), []byte(entries), after)
	length := binary.BigEndian.AppendUint32([]byte{0xfc}, uint32(len(value)))
	return slices.Concat(types, length, value)
}

// post returns a request with a message whose declared length may exceed it.
func post(path string, length int, message []byte) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n\r\n%s", path, length, message)
}

// Guards against crowds at the address of other nodes whose messages are within the bounds of one message.
func TestCrowdOfPeerMessagesStaysWithinMemory(t *testing.T) {
	whole := encodeAttempt(t, wireAttempt{Format: 1, Body: make([]byte, 3_900_000)})
	manyEntries := attemptWithEntries(t, "\xfd\x40\x00\x00", "\x01A\x01\x01b")
	shortEntries := attemptWithEntries(t, "\xfd\x1c\x00\x00", strings.Repeat("\x00\x00", 0x1c0000))
	reports := encodeAttempt(t, wireAttempt{Body: make([]byte, 1_000_000)})
	for name, send := range map[string]sender{
		"open attempts":      {post(forward.Path, len(whole), whole[:200]), strings.Repeat("\x00", 4096)},
		"open reports":       {post(origin.PathOpen, len(reports), reports[:200]), strings.Repeat("\x00", 4096)},
		"whole attempts":     {post(forward.Path, len(whole), whole), ""},
		"whole reports":      {post(origin.PathOpen, len(reports), reports), ""},
		"entries of headers": {post(forward.Path, len(manyEntries), manyEntries), ""},
		"short headers":      {post(forward.Path, len(shortEntries), shortEntries), ""},
	} {
		t.Run(name, func(t *testing.T) {
			p := startProgram(t)
			p.declareBodies()
			connections := crowdConnections
			if strings.HasSuffix(name, "headers") {
				connections = 1
			}
			p.requireSound(p.crowd(p.config.PeerAddress, connections, send))
		})
	}
}

// Guards against bodies without an end, which hold connections at the other addresses for good.
func TestOpenBodyAtOtherDoorsEnds(t *testing.T) {
	p := startProgram(t)
	p.declare(4096)
	for door, addressOf := range otherDoors {
		for _, path := range []string{"/", "/metrics", forward.Path, origin.PathOpen} {
			t.Run(door+", "+path, func(t *testing.T) {
				t.Parallel()
				connection, err := net.Dial("tcp", addressOf(p.config))
				require.NoError(t, err)
				defer connection.Close()
				_, err = io.WriteString(connection, post(path, 3000, []byte("\xfe\x0b\x00a")))
				require.NoError(t, err)
				require.NoError(t, connection.SetReadDeadline(time.Now().Add(openEndTimeout)))
				_, err = io.Copy(io.Discard, connection)
				require.NoError(t, err, "the connection stays open")
			})
		}
	}
}
