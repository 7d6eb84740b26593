//go:build crowd

package main

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/forward"
	"github.com/cloverrail/cloverrail/internal/lab/address"
	"github.com/cloverrail/cloverrail/internal/origin"
	"github.com/cloverrail/cloverrail/internal/reflector"
	"github.com/cloverrail/cloverrail/internal/retryloan"
	"github.com/cloverrail/cloverrail/internal/settings"
	"github.com/cloverrail/cloverrail/platform/standin"
)

const (
	// crowdMegabytes and crowdDescriptors are the limits of the machine of the process, which it must keep.
	crowdMegabytes   = 88
	crowdDescriptors = 800
	// crowdConnections is the number of connections of a crowd, and crowdBytes what each of them sends at most.
	crowdConnections = 150
	crowdBytes       = 1 << 20
	// crowdTime is how long the connections stay open after that.
	crowdTime = 500 * time.Millisecond
)

// crowdSenders are what the clients of a crowd send.
var crowdSenders = map[string]sender{
	"nothing":                     {},
	"one header without end":      {"GET /once/ HTTP/1.1\r\nHost: " + host + "\r\nX: ", strings.Repeat("a", 4096)},
	"headers without end":         {"GET /once/ HTTP/1.1\r\nHost: " + host + "\r\n", strings.Repeat("X-1: a\r\nY-2: b\r\n", 256)},
	"short headers without end":   {"GET /once/ HTTP/1.1\r\nHost: " + host + "\r\n", strings.Repeat("a:\r\n", 1024)},
	"whole heads":                 {"", "GET /once/ HTTP/1.1\r\nHost: " + host + "\r\nX: " + strings.Repeat("a", 1000<<10) + "\r\n\r\n"},
	"whole heads of the limit":    {"", "GET /once/ HTTP/1.1\r\nHost: " + host + "\r\nX: " + strings.Repeat("a", 3500) + "\r\n\r\n"},
	"continued lines without end": {"GET /once/ HTTP/1.1\r\nHost: " + host + "\r\nX: a\r\n", strings.Repeat(" a\r\n", 1024)},
	"a method without end":        {"", strings.Repeat("G", 4096)},
	"a target without end":        {"GET /", strings.Repeat("a", 4096)},
	"empty lines without end":     {"", strings.Repeat("\r\n", 2048)},
	"empty lines behind":          {"GET /once/ HTTP/1.1\r\nHost: " + host + "\r\n\r\n", strings.Repeat("\r\n", 2048)},
	"an extension without end":    {"POST /once/ HTTP/1.1\r\nHost: " + host + "\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("a", 4096)},
	"trailers without end":        {"POST /once/ HTTP/1.1\r\nHost: " + host + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X: a\r\n", 512)},
	"chunks of one byte":          {"POST /once/ HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + key + "\r\nCloverrail-Request-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\na\r\n", 512)},
	"an open body":                {"POST /once/ HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + key + "\r\nCloverrail-Request-Id: c\r\nContent-Length: 4000000\r\n\r\n", strings.Repeat("a", 4096)},
	"no body":                     {"", "POST /once/ HTTP/1.1\r\nHost: " + host + "\r\nExpect: 100-continue\r\nContent-Length: 900\r\n\r\n"},
	"a pipeline":                  {"", strings.Repeat("GET /absent/ HTTP/1.1\r\nHost: "+host+"\r\nCloverrail-Request-Id: c\r\n\r\n", 64)},
}

// sender is what a client sends: head, and then repeated until crowdBytes are sent or the connection fails.
type sender struct{ head, repeated string }

// peerSenders are what the clients of a crowd at the door of other nodes send besides: the beginning of a message of 15 MB.
var peerSenders = func() map[string]sender {
	senders := map[string]sender{}
	for _, path := range []string{reflector.PathServers, forward.Path, origin.PathRecords, origin.PathOpen, origin.PathRunning, retryloan.Path} {
		senders["a message to "+path] = sender{"POST " + path + " HTTP/1.1\r\nHost: node\r\nContent-Length: 16000000\r\n\r\n\xfc\x00\xf0\x00\x00", strings.Repeat("a", 4096)}
	}
	return senders
}()

// program is a node that runs as a process of its own.
type program struct {
	t       *testing.T
	store   *standin.Store
	config  settings.Proxy
	command *exec.Cmd
	log     *bytes.Buffer
	ended   chan struct{}
	// environment holds variables of the program besides those of the test.
	environment []string
}

// startProgram starts a node with the limits of a crowd. The store holds one server and no declaration.
func startProgram(t *testing.T) *program {
	store, storeAddress := newStore(t)
	server := standin.NewServer("i-1", "", 1, standin.Respond(http.StatusOK, "done"))
	serverAddress := address.Free()
	listener, err := net.Listen("tcp", serverAddress)
	require.NoError(t, err)
	httpServer := &http.Server{Handler: server}
	go func() { _ = httpServer.Serve(listener) }()
	t.Cleanup(func() { _ = httpServer.Close() })
	store.Put(standin.PrefixServers+"i-1", server.Entry("plain", serverAddress, "a", "ready"))
	p := &program{t: t, store: store, config: settings.ProxyDefaults(), log: &bytes.Buffer{}, ended: make(chan struct{})}
	p.config.Name, p.config.Zone, p.config.Zones = "node", "a", map[string]string{"a": "r"}
	p.config.CallerAddress, p.config.ReadinessAddress, p.config.MetricsAddress = address.Free(), address.Free(), address.Free()
	p.config.PeerAddress, p.config.SeedAddress, p.config.StoreAddress = address.Free(), address.Free(), storeAddress
	p.config.MemoryMegabytes, p.config.Descriptors = crowdMegabytes, crowdDescriptors
	p.config.LogLevel = "error"
	p.start("proxy", p.config, p.config.CallerAddress)
	return p
}

// start starts the program with a command and its settings, and waits until it accepts connections at an address.
func (p *program) start(command string, config any, address string) {
	t := p.t
	text, err := yaml.Marshal(config)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), command+".yaml")
	require.NoError(t, os.WriteFile(file, text, 0o600))
	p.command = exec.Command(os.Args[0], command, "--settings", file)
	p.command.Env = append(append(os.Environ(), programVariable+"=1"), p.environment...)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	require.NoError(t, p.command.Start())
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
	})
	require.Eventually(t, func() bool {
		connection, err := net.Dial("tcp", address)
		if err == nil {
			_ = connection.Close()
		}
		return err == nil
	}, waitTimeout, 10*time.Millisecond)
}

// declare writes a declaration with a limit of heads, and waits until it is in force.
func (p *program) declare(maxHeaderBytes int) {
	document := newDocument(1, key)
	document.Limits.MaxHeaderBytes = maxHeaderBytes
	p.store.Put(standin.KeyConfiguration, document)
	require.Eventually(p.t, func() bool { return p.answers() }, waitTimeout, 20*time.Millisecond)
}

// answers reports whether the node answers an ordinary request.
func (p *program) answers() bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.config.CallerAddress+"/once/x", strings.NewReader("turn"))
	require.NoError(p.t, err)
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(standin.HeaderRequestID, "ordinary")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (p *program) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(p.t, err)
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	require.True(p.t, found)
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(p.t, err)
	return kilobytes << 10
}

// descriptors returns the number of open file descriptors of the process.
func (p *program) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	require.NoError(p.t, err)
	return len(entries)
}

// crowd opens connections to an address, each of which sends what the sender of its turn sends, and returns the largest number
// of descriptors that the process had.
func (p *program) crowd(address string, connections int, senders ...sender) (descriptors int) {
	var sent, clients sync.WaitGroup
	done := make(chan struct{})
	for i := range connections {
		sent.Add(1)
		clients.Go(func() {
			connection, err := net.Dial("tcp", address)
			if err != nil {
				sent.Done()
				return
			}
			defer connection.Close()
			go func() { _, _ = io.Copy(io.Discard, connection) }()
			_ = connection.SetWriteDeadline(time.Now().Add(waitTimeout))
			send := senders[i%len(senders)]
			_, err = io.WriteString(connection, send.head)
			for total := 0; err == nil && send.repeated != "" && total < crowdBytes-len(send.head)-len(send.repeated); total += len(send.repeated) {
				_, err = io.WriteString(connection, send.repeated)
			}
			sent.Done()
			<-done
		})
	}
	sent.Wait()
	for endsAt := time.Now().Add(crowdTime); time.Now().Before(endsAt); time.Sleep(10 * time.Millisecond) {
		descriptors = max(descriptors, p.descriptors())
	}
	close(done)
	clients.Wait()
	return descriptors
}

// requireSound checks that the process lives within its limits, and answers an ordinary request.
func (p *program) requireSound(descriptors int) {
	p.requireWithinLimits(descriptors)
	require.Eventually(p.t, p.answers, waitTimeout, 100*time.Millisecond, "no ordinary request is answered")
}

// requireWithinLimits checks that the process lives within its limits.
func (p *program) requireWithinLimits(descriptors int) {
	select {
	case <-p.ended:
		p.t.Fatalf("the process has ended: %s", p.log)
	default:
	}
	peak := p.peakMemory()
	p.t.Logf("peak memory %d MB, %d descriptors", peak/1_000_000, descriptors)
	require.LessOrEqual(p.t, peak, crowdMegabytes*1_000_000, "bytes of memory")
	require.LessOrEqual(p.t, descriptors, crowdDescriptors, "descriptors")
}

// Guards against clients that end a process: they sent heads without end, or large ones over many connections, which were read
// into memory beyond that of the machine.
func TestCrowdOfClientsStaysWithinMemory(t *testing.T) {
	for name, send := range crowdSenders {
		t.Run(name, func(t *testing.T) {
			p := startProgram(t)
			p.declare(4096)
			p.requireSound(p.crowd(p.config.CallerAddress, crowdConnections, send))
		})
	}
}

// Guards against the same where the bound of heads is declared so high that only all of them together exceed the memory, where
// none is known yet, and where several kinds of clients come at once.
func TestCrowdOfClientsStaysWithinMemoryWhateverIsDeclared(t *testing.T) {
	heads := []string{"one header without end", "headers without end", "whole heads"}
	for _, name := range heads {
		t.Run("1 MB declared, "+name, func(t *testing.T) {
			p := startProgram(t)
			p.declare(1 << 20)
			p.requireSound(p.crowd(p.config.CallerAddress, crowdConnections, crowdSenders[name]))
		})
		t.Run("nothing declared, "+name, func(t *testing.T) {
			p := startProgram(t)
			descriptors := p.crowd(p.config.CallerAddress, crowdConnections, crowdSenders[name])
			p.declare(4096)
			p.requireSound(descriptors)
		})
	}
	t.Run("all kinds", func(t *testing.T) {
		p := startProgram(t)
		p.declare(4096)
		p.requireSound(p.crowd(p.config.CallerAddress, crowdConnections, slices.Collect(maps.Values(crowdSenders))...))
	})
}

// otherDoors are the addresses that are not meant for clients, but that they may reach.
var otherDoors = map[string]func(settings.Proxy) string{
	"readiness": func(s settings.Proxy) string { return s.ReadinessAddress },
	"metrics":   func(s settings.Proxy) string { return s.MetricsAddress },
	"peers":     func(s settings.Proxy) string { return s.PeerAddress },
	"seed":      func(s settings.Proxy) string { return s.SeedAddress },
}

// Guards against the same at other addresses than the clients' own.
func TestCrowdAtOtherDoorsStaysWithinMemory(t *testing.T) {
	for door, addressOf := range otherDoors {
		senders := map[string]sender{}
		for _, name := range []string{"one header without end", "headers without end", "whole heads", "an open body", "chunks of one byte"} {
			senders[name] = crowdSenders[name]
		}
		if door == "peers" {
			maps.Copy(senders, peerSenders)
		}
		for name, send := range senders {
			t.Run(door+", "+name, func(t *testing.T) {
				p := startProgram(t)
				p.declare(4096)
				p.requireSound(p.crowd(addressOf(p.config), crowdConnections, send))
			})
		}
	}
}

// Guards against connections that use up the descriptors which ordinary callers need.
func TestCrowdOfIdleConnectionsLeavesDescriptors(t *testing.T) {
	doors := maps.Clone(otherDoors)
	doors["callers"] = func(s settings.Proxy) string { return s.CallerAddress }
	for door, addressOf := range doors {
		t.Run(door, func(t *testing.T) {
			p := startProgram(t)
			p.declare(4096)
			p.requireSound(p.crowd(addressOf(p.config), crowdDescriptors+100, crowdSenders["nothing"]))
		})
	}
}
