package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/property"
	"github.com/cloverrail/cloverrail/internal/rollout"
	"github.com/cloverrail/cloverrail/platform"
	"github.com/cloverrail/cloverrail/platform/standin"
)

// ownKeys returns the keys that nodes of the fleet write.
func (f *fleetFixture) ownKeys() []string {
	return append(f.store.Keys(platform.PrefixFleet), f.store.Keys(platform.PrefixOrigins)...)
}

// spoil spoils the values of the keys that nodes of the fleet write.
func (f *fleetFixture) spoil(spoil func(value []byte, position int) []byte) {
	for _, key := range f.ownKeys() {
		f.store.PutBytes(key, spoil(f.store.Value(key), 83))
	}
}

// newSpoilableFleet starts a fleet with servers of both services that writes keys of each kind.
func newSpoilableFleet(t *testing.T) *softwareFleet {
	f := newSoftwareFleet(t, 3, "v1", "v2")
	f.startMachine(&standin.Machine{Name: "p", Service: "plain", Handler: standin.Respond(http.StatusOK, "done")})
	f.begin()
	f.store.PutBytes(platform.PrefixQuarantine+"00000000000000aa", []byte("held"))
	f.store.PutBytes(platform.PrefixTrials+"00000000000000aa", []byte("node-0"))
	f.store.PutBytes(platform.KeyRolloutState, rollout.State{Holder: "node-0", Active: true}.Encode())
	f.nodes[0].waitUntil(func() bool {
		return len(f.store.Keys(platform.PrefixOrigins)) > 0 && f.store.Value(platform.KeyView) != nil
	})
	return f
}

// requireServes checks that all nodes serve requests of both kinds within the contact time.
func (f *softwareFleet) requireServes() {
	f.t.Helper()
	nodes := f.nodes[len(f.nodes)-f.running:]
	deadline := time.Now().Add(nodes[0].contact())
	for _, n := range nodes {
		for !n.process.proxy.Ready(boottime.Now()) {
			require.True(f.t, time.Now().Before(deadline), "%s is not ready", n.process.settings.Name)
			time.Sleep(10 * time.Millisecond)
		}
	}
	f.awaitBegun(time.Until(deadline))
	for _, n := range nodes {
		for range 10 {
			got := n.send(http.MethodGet, "/again/", "", nil)
			require.Equal(f.t, http.StatusOK, got.status, "%s: %s", n.process.settings.Name, got.body)
			s := &callerStream{}
			s.try(n, streamLength, nil)
			require.True(f.t, s.complete, "%s: %d %s", n.process.settings.Name, s.status, s.refusal)
		}
	}
}

// Guards against a key of the nodes that stops requests, or ends a process, once another writer has spoilt it: nodes
// that start read it.
func TestSpoiltKeysStopNoRequest(t *testing.T) {
	for name, spoil := range property.Spoilings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSpoilableFleet(t)
			f.killAll()
			f.spoil(spoil)
			for range 3 {
				f.addNode()
			}
			f.requireServes()
		})
	}
}

// Guards against a malformed record that no node ever replaces, since it is spoilt again between a node's reading and
// its writing, and against other keys that stop requests while all are spoilt again and again.
func TestKeysSpoiltAgainAndAgainStopNoRequest(t *testing.T) {
	for name, spoil := range property.Spoilings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSpoilableFleet(t)
			f.killAll()
			stop, stopped := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(stopped)
				for {
					f.spoil(func(value []byte, position int) []byte {
						// Doubling a value again and again would make it as long as the machine's memory.
						if value = spoil(value, position); len(value) > 1<<14 {
							value = value[:1<<14]
						}
						return value
					})
					select {
					case <-stop:
						return
					case <-time.After(333 * time.Millisecond):
					}
				}
			}()
			defer func() { close(stop); <-stopped }()
			for range 3 {
				f.addNode()
			}
			nodes := f.nodes[len(f.nodes)-f.running:]
			for range 2 {
				f.awaitBegun(nodes[0].contact())
				for range 10 {
					for _, n := range nodes {
						got := n.send(http.MethodGet, "/again/", "", nil)
						require.Equal(t, http.StatusOK, got.status, "%s: %s", n.process.settings.Name, got.body)
					}
				}
				time.Sleep(3 * time.Second)
			}
		})
	}
}
