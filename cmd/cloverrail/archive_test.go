package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/lab/faultwire"
	"github.com/cloverrail/cloverrail/internal/origin"
	"github.com/cloverrail/cloverrail/platform"
	"github.com/cloverrail/cloverrail/platform/standin"
)

// These tests guard against streams of several software versions that are refused, or mixed, after all nodes are
// lost at the same time.

// youngestAge is the age of the youngest stream when the nodes are lost.
const youngestAge = 200 * time.Millisecond

// beginAt begins one stream at the first count nodes in turn, each of which its caller has one event of.
func (f *softwareFleet) beginAt(count int) []*callerStream {
	nodes := f.nodes[len(f.nodes)-f.running:]
	return runStreams(func(i int, s *callerStream) { s.try(nodes[i%count], 1, nil) })
}

// loseAll ends all nodes, one after the other with a pause between them, and starts as many others.
func (f *softwareFleet) loseAll(pause time.Duration) {
	lost := f.nodes[len(f.nodes)-f.running:]
	for _, n := range lost {
		n.crash()
		time.Sleep(pause)
	}
	f.running = 0
	for range lost {
		f.addNode()
	}
	for _, n := range f.nodes[len(f.nodes)-f.running:] {
		f.awaitHistory(n)
	}
}

// resume makes callers resume streams, each at the nodes in turn, until it has a number of events.
func (f *softwareFleet) resume(streams []*callerStream, events int) {
	nodes := f.nodes[len(f.nodes)-f.running:]
	var done sync.WaitGroup
	for i, s := range streams {
		done.Go(func() { s.try(nodes[(i+1)%len(nodes)], events, nil) })
	}
	done.Wait()
}

// Guards against streams that are refused once all nodes that knew their software version are gone.
func TestStreamsOutliveAllNodes(t *testing.T) {
	for name, c := range map[string]struct {
		nodes    int
		versions []string
		pause    time.Duration
		// times is how often all nodes are lost.
		times int
	}{
		"four nodes, two versions":               {4, []string{"v1", "v2"}, 0, 1},
		"four nodes, three versions":             {4, []string{"v1", "v2", "v3"}, 0, 1},
		"four nodes, within a second":            {4, []string{"v1", "v2"}, 250 * time.Millisecond, 1},
		"four nodes, twice":                      {4, []string{"v1", "v2"}, 0, 2},
		"one node":                               {1, []string{"v1", "v2"}, 0, 1},
		"one node, twice":                        {1, []string{"v1", "v2"}, 0, 2},
		"more nodes than relays, three versions": {13, []string{"v1", "v2", "v3"}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSoftwareFleet(t, c.nodes, c.versions...)
			streams := f.beginAt(c.nodes)
			for i := range c.times {
				time.Sleep(youngestAge)
				f.loseAll(c.pause)
				if i+1 < c.times {
					f.resume(streams, 2)
				}
			}
			f.resume(streams, streamLength)
			requireContinued(t, streams, minContinued)
		})
	}
}

// Guards against streams of one version that are refused because the other version ended with the nodes, and
// against a wait for servers of the version that ended.
func TestStreamsOutliveNodesAndVersion(t *testing.T) {
	t.Parallel()
	f := newSoftwareFleet(t, 3, "v1", "v2")
	streams := f.beginAt(3)
	time.Sleep(youngestAge)
	for _, m := range f.machines[:2] {
		m.Stop()
		for _, incarnation := range m.Incarnations() {
			f.store.Remove(standin.PrefixServers + incarnation.Instance)
		}
	}
	f.machines = f.machines[2:]
	f.loseAll(0)
	f.resume(streams, streamLength)
	requireOneVersion(t, streams)
	for _, s := range streams {
		if s.versions[0] == "v1" {
			s.requireRefused(t)
		} else {
			require.True(t, s.complete, "%d %s", s.status, s.refusal)
		}
	}
}

// Guards against streams that began at the only version, and are refused because another one came before all
// nodes were lost.
func TestStreamsOutliveNodesAfterOtherVersionCame(t *testing.T) {
	t.Parallel()
	f := newSoftwareFleet(t, 3, "v1")
	// The callers stay, so that the streams are open when the other version comes.
	f.slow.Store(true)
	came, lost := make(chan struct{}), make(chan struct{})
	var began sync.WaitGroup
	began.Add(softwareStreams)
	go func() {
		began.Wait()
		f.addEngine("v2")
		f.addEngine("v2")
		for _, n := range f.nodes {
			n.waitUntil(func() bool { return n.process.serverSet.MixesSoftware("engines", time.Now()) })
		}
		close(came)
		time.Sleep(time.Second)
		f.loseAll(0)
		close(lost)
	}()
	streams := runStreams(func(i int, s *callerStream) {
		s.onEvent = func() {
			if s.events == 1 {
				began.Done()
			}
		}
		s.tryOnce(f.nodes[i%3], streamLength, nil)
		<-lost
	})
	f.slow.Store(false)
	f.resume(streams, streamLength)
	requireContinued(t, streams, minContinued)
}

// Guards against writes to the store by a fleet whose servers have one software version.
func TestFleetOfOneVersionArchivesNothing(t *testing.T) {
	t.Parallel()
	f := newSoftwareFleet(t, 2, "v1")
	f.beginAt(2)
	time.Sleep(3 * youngestAge)
	require.Empty(t, f.store.Keys(platform.PrefixOrigins))
}

// archiveCall reports whether a call to the store is one of the archive's, which all have their own prefix. The
// bodies of writes are not read.
func archiveCall(r *http.Request) bool {
	return strings.Contains(r.URL.RawQuery, "path_prefix=cloverrail-origins") || r.Method == http.MethodPost
}

// Guards against streams that are mixed, or wait, where the store does not keep or return their records: what is
// not known is refused at once. Nodes start while the store answers.
func TestStreamsAreNotGuessedWithoutArchive(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultUnavailable, standin.FaultLostResponse, standin.FaultNoResponse, standin.FaultReset, standin.FaultRateLimited, standin.FaultSlow, standin.FaultStalledResponse, standin.FaultLate} {
		t.Run(fault.String(), func(t *testing.T) {
			t.Parallel()
			f := newSoftwareFleet(t, 3, "v1", "v2")
			known := f.beginAt(3)
			time.Sleep(youngestAge)
			f.store.SetFault(func(r *http.Request) standin.Fault {
				if archiveCall(r) {
					return fault
				}
				return standin.FaultNone
			})
			unknown := f.beginAt(3)
			time.Sleep(youngestAge)
			f.store.SetFault(nil)
			f.loseAll(0)
			f.store.SetFault(func(r *http.Request) standin.Fault {
				if archiveCall(r) {
					return fault
				}
				return standin.FaultNone
			})
			all := append(append([]*callerStream{}, known...), unknown...)
			f.resume(all, streamLength)
			requireOneVersion(t, all)
			for _, s := range all {
				if !s.complete {
					s.requireRefused(t)
				}
			}
			f.store.SetFault(nil)
			f.nodes[0].waitUntil(func() bool {
				for _, s := range known {
					if !s.complete {
						f.resume([]*callerStream{s}, streamLength)
					}
				}
				complete := 0
				for _, s := range known {
					if s.complete {
						complete++
					}
				}
				return complete >= minContinued
			})
			requireOneVersion(t, all)
		})
	}
}

// Guards against streams that are mixed after the store came back from an older copy: those that it lost are
// refused, and later ones go on.
func TestStreamsOutliveNodesAndRestoredStore(t *testing.T) {
	t.Parallel()
	f := newSoftwareFleet(t, 3, "v1", "v2")
	kept := f.beginAt(3)
	time.Sleep(youngestAge)
	snapshot := f.store.TakeSnapshot()
	f.beginAt(3)
	time.Sleep(youngestAge)
	f.store.Restore(snapshot)
	later := f.beginAt(3)
	time.Sleep(time.Second)
	f.loseAll(0)
	f.resume(kept, streamLength)
	requireContinued(t, kept, minContinued)
	f.resume(later, streamLength)
	requireContinued(t, later, minContinued)

	lost := f.beginAt(3)
	time.Sleep(youngestAge)
	f.store.Restore(snapshot)
	// No node that lived through the restore tells the next ones that the record is complete.
	f.killAll()
	f.startNodes(3)
	f.resume(lost, streamLength)
	requireOneVersion(t, lost)
	for _, s := range lost {
		if !s.complete {
			s.requireRefused(t)
		}
	}
}

// Guards against entries that cannot be decoded, or of a format of a later build, hiding the others.
func TestUnreadableArchiveEntriesArePassedOver(t *testing.T) {
	t.Parallel()
	f := newSoftwareFleet(t, 2, "v1", "v2")
	streams := f.beginAt(2)
	time.Sleep(youngestAge)
	for i, value := range []any{"text", 7, []int{1}, map[string]string{"a": "b"}, nil} {
		f.store.Put(fmt.Sprint(platform.PrefixOrigins, "foreign-", i), value)
	}
	f.loseAll(0)
	f.resume(streams, streamLength)
	requireContinued(t, streams, minContinued)
}

// Guards against nodes of a build that accepts no reports of open streams: whoever finds no relay writes itself.
func TestReportsPassOverFormerBuilds(t *testing.T) {
	t.Parallel()
	f := newSoftwareFleet(t, 13, "v1", "v2")
	for _, n := range f.nodes {
		n.keepNoOrigins.Store(true)
	}
	streams := f.beginAt(13)
	time.Sleep(time.Second)
	f.loseAll(0)
	f.resume(streams, streamLength)
	requireContinued(t, streams, minContinued)
}

// Guards against a relay that accepts reports although it cannot write to the store: the streams of other nodes
// would be lost with all nodes.
func TestReportsPassOverRelaysWithoutStore(t *testing.T) {
	t.Parallel()
	f := newSoftwareFleet(t, 13, "v1", "v2")
	for _, n := range f.nodes {
		if n.process.registry.Rank() < 4 {
			n.cutStore()
		}
	}
	time.Sleep(time.Second)
	streams := runStreams(func(i int, s *callerStream) { s.try(f.nodes[i%13], 1, nil) })
	time.Sleep(time.Second)
	f.loseAll(0)
	f.resume(streams, streamLength)
	requireContinued(t, streams, minContinued)
}

// Guards against the same record of a stream that says different things: two tries of a caller had the same ID.
func TestArchiveKeepsConflicts(t *testing.T) {
	t.Parallel()
	f := newSoftwareFleet(t, 2, "v1", "v2")
	key := origin.NewKey("one", "same")
	for i, n := range f.nodes {
		n.process.openStreams.Begin(key, origin.Origin{Service: "engines", Software: fmt.Sprint("v", i+1)}, false)
	}
	time.Sleep(youngestAge)
	f.loseAll(0)
	s := &callerStream{events: 1, first: "same", versions: []string{"v1"}}
	f.resume([]*callerStream{s}, streamLength)
	s.requireRefused(t)
}

// Guards against a node that stops and leaves what it has not written.
func TestArchiveIsWrittenBeforeNodeStops(t *testing.T) {
	t.Parallel()
	f := newSoftwareFleet(t, 1, "v1", "v2")
	stopped := f.nodes[0]
	began := origin.Origin{Service: "engines", Software: "v1"}
	// The second stream begins within the interval between two writes.
	stopped.process.openStreams.Begin(1, began, false)
	stopped.waitUntil(func() bool { return len(f.store.Keys(platform.PrefixOrigins)) == 1 })
	stopped.process.openStreams.Begin(2, began, false)
	stopped.kill()
	next := f.addNode()
	next.waitUntil(func() bool {
		require.NoError(t, next.process.archive.Read(t.Context()))
		_, found := next.process.origins.Lookup(2, time.Now())
		return found
	})
}

// cutStore cuts a node off from the store.
func (fixture *fixture) cutStore() { fixture.links[0].SetMode(faultwire.ModeReset) }
