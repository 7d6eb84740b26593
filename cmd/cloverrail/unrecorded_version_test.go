package main

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// These tests guard against streams that go on at another software version because no record of theirs is left: nodes
// must not take the lack of a record for the proof that there was one version.

// beginAtVersion begins a stream at each node in turn, until softwareStreams began at a version.
func (f *softwareFleet) beginAtVersion(version string) []*callerStream {
	var streams []*callerStream
	for deadline := time.Now().Add(waitTimeout); len(streams) < softwareStreams; {
		require.True(f.t, time.Now().Before(deadline), "no stream begins at %s", version)
		for _, s := range f.beginAt(f.running) {
			if len(s.versions) == 1 && s.versions[0] == version {
				streams = append(streams, s)
			}
		}
	}
	return streams
}

// killAll ends all nodes at once.
func (f *softwareFleet) killAll() {
	var done sync.WaitGroup
	for _, n := range f.nodes[len(f.nodes)-f.running:] {
		done.Go(n.crash)
	}
	done.Wait()
	f.running = 0
}

// startNodes starts nodes after all have gone.
func (f *softwareFleet) startNodes(count int) {
	for range count {
		f.addNode()
	}
	for _, n := range f.nodes[len(f.nodes)-count:] {
		f.awaitReady(n)
		n.waitUntil(func() bool {
			return len(n.process.serverSet.UnrecordedSoftware()) == 0 && n.process.serverSet.SoftwareRecord() != nil
		})
	}
}

// Guards against streams of a version that a restore of the store has removed from the record, and that is gone when
// all nodes start anew: they went on at the version that is left.
func TestRestoredRecordMixesNoStream(t *testing.T) {
	for name, c := range map[string]struct {
		// first is the version in the copy; "" means that it has no record.
		first string
		// silent makes the store silent from the restore until the nodes are lost, and down restores it while no node
		// runs.
		silent, down bool
		// kills is how often all nodes are lost, and restores how often the store is restored.
		kills, restores int
	}{
		"before the loss of all nodes":                       {"v1", true, false, 1, 1},
		"while no node runs":                                 {"v1", false, true, 1, 1},
		"before all nodes are lost twice":                    {"v1", true, false, 2, 1},
		"twice, while no node runs":                          {"v1", false, true, 1, 2},
		"to a copy without a record":                         {"", true, false, 1, 1},
		"to a copy without a record, while no node runs":     {"", false, true, 1, 1},
		"to a copy without a record, and all are lost twice": {"", false, true, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := &softwareFleet{fleetFixture: newFleet(t, 0, 0)}
			snapshot := f.store.TakeSnapshot()
			if c.first != "" {
				f.addEngine("v1")
				f.addEngine("v1")
				f.startNodes(3)
				snapshot = f.store.TakeSnapshot()
			}
			former := f.machines
			f.addEngine("v2")
			f.addEngine("v2")
			if c.first == "" {
				f.startNodes(3)
			}
			for _, n := range f.nodes {
				f.awaitHistory(n)
			}
			streams := f.beginAtVersion("v2")
			if c.down {
				f.killAll()
			}
			for range c.restores {
				f.store.Restore(snapshot)
			}
			if c.silent {
				f.store.SetFault(func(*http.Request) standin.Fault { return standin.FaultNoResponse })
			}
			if !c.down {
				f.killAll()
			}
			// The engines of the other version are gone, and so are their entries.
			f.removeEngines(f.machines[len(former):])
			if c.first == "" {
				f.addEngine("v1")
				f.addEngine("v1")
			}
			f.store.SetFault(nil)
			for _, m := range f.machines {
				m.Register()
			}
			f.startNodes(3)
			for range c.kills - 1 {
				f.killAll()
				f.startNodes(3)
			}
			f.resume(streams, streamLength)
			requireOneVersion(t, streams)
			for _, s := range streams {
				s.requireRefused(t)
			}
			// Streams that begin now go on, also after the loss of all nodes.
			later := f.beginAt(3)
			f.resume(later, 2)
			time.Sleep(time.Second)
			f.killAll()
			f.startNodes(3)
			f.resume(later, streamLength)
			requireContinued(t, later, minContinued)
		})
	}
}

// Guards against streams that are refused after a restore of the store although their version is known: some node has
// lived through the restore, and there was one version.
func TestStreamsOfOnlyVersionOutliveRestore(t *testing.T) {
	for name, c := range map[string]struct{ recorded, lost bool }{
		"a copy with the record":                            {true, false},
		"a copy without the record":                         {false, false},
		"a copy with the record, and all nodes are lost":    {true, true},
		"a copy without the record, and all nodes are lost": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := &softwareFleet{fleetFixture: newFleet(t, 0, 0)}
			snapshot := f.store.TakeSnapshot()
			f.addEngine("v1")
			f.addEngine("v1")
			f.startNodes(3)
			if c.recorded {
				snapshot = f.store.TakeSnapshot()
			}
			streams := f.beginAt(3)
			f.store.Restore(snapshot)
			for _, m := range f.machines {
				m.Register()
			}
			if c.lost {
				time.Sleep(rewriteLimit)
				f.loseAll(0)
			}
			f.resume(streams, streamLength)
			requireContinued(t, streams, softwareStreams)
		})
	}
}

// rewriteLimit is the time within which the record is complete again after a restore of the store.
const rewriteLimit = 2 * time.Second

// Guards against streams that began at a server which had restarted with other software and was not in the list yet:
// with all nodes lost, no record of them was left, and they went on at the only version that was ever listed.
func TestUnlistedVersionMixesNoStreamAfterLossOfAllNodes(t *testing.T) {
	t.Parallel()
	f := newSoftwareFleet(t, 3, "v1")
	r := &restartableServer{fixture: f.nodes[0]}
	former := r.startSoftware("v1", f.handle)
	f.machines = append(f.machines, nil)
	for _, n := range f.nodes {
		f.awaitReady(n)
		n.awaitRetryShare()
		n.waitUntil(func() bool {
			before := former.Runs()
			(&callerStream{}).try(n, streamLength, nil)
			return former.Runs() > before
		})
	}
	unlisted := engine("i-1", f.handle)
	unlisted.Software = "v2"
	r.run(unlisted)
	var streams []*callerStream
	for range 3 {
		streams = append(streams, f.beginAt(3)...)
	}
	began := 0
	for _, s := range streams {
		began += s.events
	}
	require.GreaterOrEqual(t, began, 3*minContinued, "streams begin at the other servers meanwhile")
	time.Sleep(youngestAge)
	f.killAll()
	r.startSoftware("v1", f.handle)
	f.startNodes(3)
	f.resume(streams, streamLength)
	requireOneVersion(t, streams)
	for _, s := range streams {
		require.True(t, s.complete || s.events == 0, "%d %s", s.status, s.refusal)
	}

	r.startSoftware("v3", f.handle)
	f.nodes[len(f.nodes)-1].waitUntil(func() bool { return slices.Contains(f.beginAt(3)[0].versions, "v3") })
}
