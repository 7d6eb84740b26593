package main

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform"
	"github.com/cloverrail/cloverrail/platform/standin"
)

// spoiltRecords holds records of software versions as no node writes them.
var spoiltRecords = map[string]string{
	"nested":                strings.Repeat("[", 100) + strings.Repeat("]", 100),
	"empty":                 "",
	"cut":                   `{"":["1"],"engines":["v1`,
	"doubled":               `{"engines":["v1"]}{"engines":["v1"]}`,
	"a number":              "9223372036854775807",
	"a number as a version": `{"engines":[9223372036854775807]}`,
	"null":                  "null",
	"too long":              `{"engines":["v1"` + strings.Repeat(`,"v1"`, 1<<19) + `]}`,
}

// awaitBegun begins a stream at each node as soon as the node does so, and returns them.
func (f *softwareFleet) awaitBegun(within time.Duration) []*callerStream {
	var begun []*callerStream
	deadline := time.Now().Add(within)
	for _, n := range f.nodes[len(f.nodes)-f.running:] {
		for s := (&callerStream{}); ; time.Sleep(10 * time.Millisecond) {
			if s.try(n, 1, nil); s.events == 1 {
				begun = append(begun, s)
				break
			}
			require.True(f.t, time.Now().Before(deadline), "%s begins no stream: %d %s", n.process.settings.Name, s.status, s.refusal)
		}
	}
	return begun
}

// Guards against a malformed record of software versions that stops all streams after a start of all nodes, until
// somebody removes it, and against streams that go on at a version that is only guessed beside one.
func TestSpoiltSoftwareRecordStopsNoStream(t *testing.T) {
	for name, value := range spoiltRecords {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSoftwareFleet(t, 3, "v1")
			unknown := f.begin()
			f.killAll()
			f.store.PutBytes(platform.KeySoftware, []byte(value))
			for range 3 {
				f.addNode()
			}
			for _, n := range f.nodes[3:] {
				f.awaitReady(n)
			}
			streams := f.awaitBegun(f.nodes[3].contact())
			f.resume(unknown, streamLength)
			requireOneVersion(t, unknown)
			for _, s := range unknown {
				s.requireRefused(t)
			}
			f.resume(streams, streamLength)
			requireContinued(t, streams, len(streams))
			require.NotEqual(t, value, string(f.store.Value(platform.KeySoftware)), "the record is replaced")
			// Nodes that start later do not take the record for a complete one either.
			f.killAll()
			f.startNodes(3)
			s := &callerStream{events: 3, versions: []string{"v1"}, first: "unknown"}
			s.try(f.nodes[len(f.nodes)-1], streamLength, nil)
			s.requireRefused(t)
		})
	}
}

// Guards against running nodes that forget the recorded versions while somebody spoils their record again and again,
// against a version that begins no streams meanwhile, and against a write for each time that it is spoilt.
func TestRecordSpoiltAgainAndAgainStopsNoStream(t *testing.T) {
	t.Parallel()
	f := newSoftwareFleet(t, 3, "v1")
	before := f.begin()
	writes := f.failRecords(standin.FaultNone)
	startedAt := time.Now()
	for round := range 30 {
		if round == 15 {
			f.addEngine("v2")
			f.addEngine("v2")
		}
		for _, n := range f.nodes {
			f.store.PutBytes(platform.KeySoftware, []byte(spoiltRecords["nested"]))
			time.Sleep(100 * time.Millisecond)
			s := &callerStream{}
			s.try(n, streamLength, nil)
			require.True(t, s.complete, "%d %s", s.status, s.refusal)
			requireOneVersion(t, []*callerStream{s})
		}
	}
	seconds := int64(time.Since(startedAt)/time.Second) + 1
	require.Positive(t, writes.Load())
	require.LessOrEqual(t, writes.Load(), int64(len(f.nodes))*(seconds+1))
	f.beginAtVersion("v2")
	f.resume(before, streamLength)
	requireOneVersion(t, before)
	f.nodes[0].waitUntil(func() bool { return strings.Contains(string(f.store.Value(platform.KeySoftware)), "v2") })
}
