//go:build crowd

package main

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/lab/address"
	"github.com/cloverrail/cloverrail/internal/lab/inprocess"
	"github.com/cloverrail/cloverrail/internal/settings"
)

// nodeProgram is a node of the product's own interface that runs as a process of its own.
type nodeProgram struct {
	*program
	settings settings.Settings
}

// startNodeProgram starts a node with the limits of a crowd, which joins a fleet of one node with an engine and a plain server.
func startNodeProgram(t *testing.T) *nodeProgram {
	fleet, err := inprocess.Start(inprocess.Config{Nodes: 1, Engines: 1, Servers: 1, StepTime: time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(fleet.Stop)
	n := &nodeProgram{program: &program{t: t, log: &bytes.Buffer{}, ended: make(chan struct{})}, settings: fleet.Nodes[0].Settings}
	n.settings.CallerAddress, n.settings.PeerAddress, n.settings.OperatorAddress = address.Free(), address.Free(), address.Free()
	n.settings.LogLevel = "error"
	n.environment = []string{
		fmt.Sprint("CLOVERRAIL_MEMORY_MEGABYTES=", crowdMegabytes),
		fmt.Sprint("CLOVERRAIL_DESCRIPTORS=", crowdDescriptors),
	}
	n.start("node", n.settings, n.settings.CallerAddress)
	require.Eventually(t, n.answers, waitTimeout, 20*time.Millisecond)
	return n
}

// answers reports whether the node answers an ordinary request of a caller, and one of an operator.
func (n *nodeProgram) answers() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	for target, tenant := range map[string]string{
		n.settings.CallerAddress + "/matches":           inprocess.Tenant,
		n.settings.OperatorAddress + "/operator/status": "duty",
	} {
		request, err := http.NewRequest(http.MethodGet, "http://"+target, nil)
		require.NoError(n.t, err)
		request.Header.Set("Authorization", "Bearer "+inprocess.Key(tenant))
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// requireNodeSound checks that the process lives within its limits, and answers ordinary requests.
func (n *nodeProgram) requireNodeSound(descriptors int) {
	n.requireWithinLimits(descriptors)
	require.Eventually(n.t, n.answers, waitTimeout, 100*time.Millisecond, "no ordinary request is answered")
}

// nodeSenders are what the clients of a crowd send to each HTTP address of a node, and nodeBodies what those with a tenant's key
// send to callers' one.
var (
	nodeSenders = func() map[string]sender {
		senders := map[string]sender{}
		for _, name := range []string{"one header without end", "headers without end", "short headers without end", "whole heads", "a method without end", "a target without end", "empty lines without end", "an open body", "trailers without end"} {
			senders[name] = crowdSenders[name]
		}
		return senders
	}()
	nodeBodies = map[string]sender{
		"an open body of a tenant":       {"POST /v1/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer " + inprocess.Key(inprocess.Tenant) + "\r\nContent-Length: 30000000\r\n\r\n", strings.Repeat("a", 4096)},
		"chunks of one byte of a tenant": {"POST /v1/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer " + inprocess.Key(inprocess.Tenant) + "\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\na\r\n", 512)},
	}
	// peerRecords begin handshakes that never end.
	peerRecords = map[string]sender{
		"bytes without end":       {"", strings.Repeat("a", 4096)},
		"a handshake without end": {"", "\x16\x03\x01\x10\x00\x01\x00\xff\xf0" + strings.Repeat("a", 4092)},
	}
)

// nodeDoors are the addresses of a node.
var nodeDoors = map[string]func(settings.Settings) string{
	"callers":   func(s settings.Settings) string { return s.CallerAddress },
	"operators": func(s settings.Settings) string { return s.OperatorAddress },
	"peers":     func(s settings.Settings) string { return s.PeerAddress },
}

// Guards against clients that end a node of the product's own interface: they sent heads or bodies without end, which were read
// into memory beyond that of the machine.
func TestCrowdAtNodeStaysWithinMemory(t *testing.T) {
	for door, addressOf := range nodeDoors {
		senders := maps.Clone(nodeSenders)
		switch door {
		case "callers":
			maps.Copy(senders, nodeBodies)
		case "peers":
			senders = peerRecords
		}
		for name, send := range senders {
			t.Run(door+", "+name, func(t *testing.T) {
				n := startNodeProgram(t)
				n.requireNodeSound(n.crowd(addressOf(n.settings), crowdConnections, send))
			})
		}
	}
}

// Guards against connections that use up the descriptors which ordinary callers need.
func TestCrowdOfIdleConnectionsLeavesDescriptorsOfNode(t *testing.T) {
	for door, addressOf := range nodeDoors {
		t.Run(door, func(t *testing.T) {
			n := startNodeProgram(t)
			n.requireNodeSound(n.crowd(addressOf(n.settings), crowdDescriptors+100, crowdSenders["nothing"]))
		})
	}
}

// Guards against bodies of refused requests without an end, which hold connections for good.
func TestOpenBodyAtNodeEnds(t *testing.T) {
	n := startNodeProgram(t)
	for _, target := range []struct{ door, path string }{
		{"callers", "/v1/completions"}, {"callers", "/absent"}, {"operators", "/operator/apply"}, {"operators", "/healthz"}, {"operators", "/absent"},
	} {
		t.Run(target.door+", "+target.path, func(t *testing.T) {
			t.Parallel()
			connection, err := net.Dial("tcp", nodeDoors[target.door](n.settings))
			require.NoError(t, err)
			defer connection.Close()
			_, err = io.WriteString(connection, post(target.path, 3000, []byte("a")))
			require.NoError(t, err)
			require.NoError(t, connection.SetReadDeadline(time.Now().Add(openEndTimeout)))
			_, err = io.Copy(io.Discard, connection)
			require.NoError(t, err, "the connection stays open")
		})
	}
}
