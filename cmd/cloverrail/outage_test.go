package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/lab/faultwire"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/settings"
	"github.com/cloverrail/cloverrail/platform"
	"github.com/cloverrail/cloverrail/platform/standin"
)

// These tests guard against what an outage of the store put off being put off further once the store
// answers again.

const (
	// shortOutage ends before a store call times out, and longOutage after any delay between two
	// attempts has reached its maximum.
	shortOutage = 700 * time.Millisecond
	longOutage  = 7 * time.Second
	// mediumOutage exceeds the longest delay between two attempts.
	mediumOutage = 3 * time.Second
)

// outageKinds holds the ways in which a store fails that executes no call, or whose answers are of no use.
var outageKinds = []standin.Fault{
	standin.FaultNoResponse, standin.FaultReset, standin.FaultUnavailable, standin.FaultRateLimited, standin.FaultSlow, standin.FaultStalledResponse,
}

// disrupt makes all calls to the store fail in one way.
func (f *fleetFixture) disrupt(fault standin.Fault) {
	f.store.SetFault(func(*http.Request) standin.Fault { return fault })
}

// replaceNodes kills all nodes at once, and starts as many others.
func (f *softwareFleet) replaceNodes() {
	killed := f.nodes
	for _, n := range killed {
		n.crash()
	}
	f.nodes = nil
	f.running = 0
	for range killed {
		f.addNode()
	}
}

// contact returns the time after an outage within which a node must have caught up.
func (fixture *fixture) contact() time.Duration { return fixture.process.settings.Bounds.StartupGrace }

// behind returns what a node has not caught up with; "" if nothing.
func (f *softwareFleet) behind(n *fixture) string {
	process := n.process
	_, complete := process.serverSet.Software(boottime.Now())
	switch {
	case !process.proxy.Ready(boottime.Now()):
		return "the configuration"
	case len(process.serverSet.Servers(boottime.Now())) < len(f.machines):
		return "the list of servers"
	case !complete && !f.incomplete:
		return "the software versions"
	case process.serverSet.SoftwareRecord() == nil || len(process.serverSet.UnrecordedSoftware()) > 0:
		return "the record of software versions"
	case !f.registered(n):
		return "its registration"
	case !process.registry.Bootstrapped():
		return "its rank"
	case process.registry.Nodes() < f.running:
		return "the size of the fleet"
	case !f.knowsOthers(n):
		return "the addresses of other nodes"
	default:
		return ""
	}
}

// registered reports whether the store holds the registration of a node.
func (f *softwareFleet) registered(n *fixture) bool {
	name := "/" + n.process.settings.Name + "/" + n.process.registry.Incarnation
	return slices.ContainsFunc(f.store.Keys(platform.PrefixNodes), func(key string) bool { return strings.HasSuffix(key, name) })
}

// knowsOthers reports whether a node knows the addresses of all others.
func (f *softwareFleet) knowsOthers(n *fixture) bool {
	for _, other := range f.nodes {
		address := other.process.settings.PeerAddress
		if other != n && !slices.ContainsFunc(n.process.registry.OtherNodes(), func(known fleet.Node) bool { return known.Address == address }) {
			return false
		}
	}
	return true
}

// requireCaughtUp checks that all nodes catch up within the contact time.
func (f *softwareFleet) requireCaughtUp(t *testing.T, since time.Time) {
	t.Helper()
	for {
		lacking := []string{}
		for _, n := range f.nodes {
			if what := f.behind(n); what != "" {
				lacking = append(lacking, n.process.settings.Name+" lacks "+what)
			}
		}
		if len(lacking) == 0 {
			return
		}
		if time.Since(since) > f.nodes[0].contact() {
			require.Empty(t, lacking, "%s after the store is back", f.nodes[0].contact())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// resumeBegun resumes streams that other nodes began.
func (f *softwareFleet) resumeBegun(streams []*callerStream) {
	for i, s := range streams {
		s.try(f.nodes[i%len(f.nodes)], streamLength, nil)
	}
}

// begin begins streams at all nodes.
func (f *softwareFleet) begin() []*callerStream {
	return runStreams(func(i int, s *callerStream) { s.try(f.nodes[i%len(f.nodes)], 1, nil) })
}

// Guards against nodes that are started in an outage of the store and do not learn, after it, which
// software versions are in use: they refused all streams that callers resumed.
func TestFleetStartedInOutageCatchesUp(t *testing.T) {
	for _, kind := range outageKinds {
		for _, length := range []time.Duration{shortOutage, longOutage} {
			t.Run(fmt.Sprint(kind, " for ", length), func(t *testing.T) {
				t.Parallel()
				f := newSoftwareFleet(t, 3, "v1")
				streams := f.begin()
				f.disrupt(kind)
				f.replaceNodes()
				time.Sleep(length)
				f.store.SetFault(nil)
				f.requireCaughtUp(t, time.Now())
				f.resumeBegun(streams)
				requireContinued(t, streams, softwareStreams)
			})
		}
	}
}

// restartNode kills one node, and starts it again.
func (f *softwareFleet) restartNode() *fixture {
	killed := f.nodes[0]
	killed.crash()
	f.running--
	f.nodes = f.nodes[1:]
	return f.addNamedNode(killed.process.settings.Name, func(*settings.Proxy) {})
}

// Guards against one node that is started in an outage, and that stays behind the others after it.
func TestNodeStartedInOutageCatchesUp(t *testing.T) {
	for _, kind := range outageKinds {
		t.Run(kind.String(), func(t *testing.T) {
			t.Parallel()
			f := newSoftwareFleet(t, 3, "v1")
			streams := f.begin()
			f.disrupt(kind)
			f.restartNode()
			time.Sleep(mediumOutage)
			f.store.SetFault(nil)
			f.requireCaughtUp(t, time.Now())
			f.resumeBegun(streams)
			requireContinued(t, streams, softwareStreams)
		})
	}
}

// Guards against a node that starts while it alone is cut off from the store: no other node sees an outage
// or its end.
func TestNodeStartedCutOffFromStoreCatchesUp(t *testing.T) {
	for _, mode := range []faultwire.Mode{faultwire.ModeReset, faultwire.ModeBlackhole, faultwire.ModeHoldResponses, faultwire.ModeRefuse} {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			f := newSoftwareFleet(t, 3, "v1")
			streams := f.begin()
			link := f.restartNode().links[0]
			link.SetMode(mode)
			time.Sleep(mediumOutage)
			link.SetMode(faultwire.ModeForward)
			f.requireCaughtUp(t, time.Now())
			f.resumeBegun(streams)
			requireContinued(t, streams, softwareStreams)
		})
	}
}

// Guards against the end of a first outage using up what the end of the next one needs.
func TestFleetStartedInSecondOutageCatchesUp(t *testing.T) {
	for i, kind := range outageKinds {
		next := outageKinds[(i+1)%len(outageKinds)]
		t.Run(fmt.Sprint(kind, ", then ", next), func(t *testing.T) {
			t.Parallel()
			f := newSoftwareFleet(t, 3, "v1")
			streams := f.begin()
			f.disrupt(kind)
			f.replaceNodes()
			time.Sleep(mediumOutage)
			f.store.SetFault(nil)
			time.Sleep(shortOutage)
			f.disrupt(next)
			time.Sleep(mediumOutage)
			f.store.SetFault(nil)
			f.requireCaughtUp(t, time.Now())
			f.resumeBegun(streams)
			requireContinued(t, streams, softwareStreams)
		})
	}
}

// startWithSeeds starts a node that knows the peer addresses of all others.
func (f *softwareFleet) startWithSeeds() *fixture {
	seeds := []string{}
	for _, n := range f.nodes {
		seeds = append(seeds, n.process.settings.PeerAddress)
	}
	return f.addNamedNode("late", func(config *settings.Proxy) { config.Seeds = seeds })
}

// Guards against a node that starts beside sound ones, and that waits for the store to learn what they know:
// it refused all requests for as long as the store was down, and resumed streams longer.
func TestNodeStartedInOutageLearnsFromOtherNodes(t *testing.T) {
	for _, kind := range outageKinds {
		t.Run(kind.String(), func(t *testing.T) {
			t.Parallel()
			f := newSoftwareFleet(t, 3, "v1")
			streams := f.begin()
			f.disrupt(kind)
			late := f.startWithSeeds()
			startedAt := time.Now()
			late.waitUntil(func() bool {
				replica := late.process.replica.Load()
				return replica != nil && replica.Snapshot != nil && late.knows(len(f.machines)) && late.onlySoftware() != ""
			})
			require.Less(t, time.Since(startedAt), late.contact())
			require.Equal(t, "v1", late.onlySoftware())
			require.False(t, f.registered(late), "the store is still down")
			f.store.SetFault(nil)
			f.requireCaughtUp(t, time.Now())
			for _, s := range streams {
				s.try(late, streamLength, nil)
			}
			requireContinued(t, streams, softwareStreams)
		})
	}
}

// onlySoftware returns the only software version that may have begun streams, or "" if a node does not
// know that there is only one.
func (fixture *fixture) onlySoftware() string {
	software, _ := fixture.process.serverSet.OnlySoftware("engines", boottime.Now())
	return software
}

// storedSuspect is a request whose quarantine is in the store.
const storedSuspect = quarantine.Fingerprint(0x5eed)

// Guards against state that a node reads only at its start, or behind a delay of its own, and that is not in
// force after the outage in which the node has started: the configuration, quarantines, the era, and the
// leadership by which weights roll out. All change during the outage.
func TestStateIsInForceAfterOutage(t *testing.T) {
	for _, kind := range []standin.Fault{standin.FaultNoResponse, standin.FaultUnavailable, standin.FaultStalledResponse} {
		for _, restored := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, store restored: %t", kind, restored), func(t *testing.T) {
				t.Parallel()
				f := newSoftwareFleet(t, 3, "v1")
				snapshot := f.store.TakeSnapshot()
				f.disrupt(kind)
				f.replaceNodes()
				time.Sleep(mediumOutage)
				if restored {
					f.store.Restore(snapshot)
					f.incomplete = true
				}
				f.store.Put(standin.KeyConfiguration, newDocument(7, "new-key"))
				f.store.Put(platform.PrefixQuarantine+storedSuspect.String(), "held")
				f.store.ReleaseVersion(model, 2)
				f.store.SetFault(nil)
				endedAt := time.Now()
				f.requireCaughtUp(t, endedAt)
				for _, n := range f.nodes {
					n.requireInForce(t, endedAt, n.contact(), "the configuration", func() bool { return n.process.replica.Load().Snapshot.Version == 7 })
					n.requireInForce(t, endedAt, n.contact(), "the quarantine", func() bool {
						verdict := n.process.quarantineLedger.Evaluate(quarantine.Suspects{Request: storedSuspect}, n.process.crashUnconfirmed, boottime.Now())
						return verdict.Quarantined
					})
					n.requireInForce(t, endedAt, n.contact(), "the era", func() bool { return coordination.EraOf(1).Before(n.process.eras.Current()) == restored })
				}
				// A new leader waits for the former one to have ended.
				handover := f.nodes[0].process.settings.Bounds.LeaderHandover
				for _, m := range f.machines {
					f.nodes[0].requireInForce(t, endedAt, f.nodes[0].contact()+handover, "the weights", func() bool {
						incarnations := m.Incarnations()
						return incarnations[len(incarnations)-1].Version() == 2
					})
				}
				withNewKey := func(r *http.Request) { r.Header.Set("Authorization", "Bearer new-key") }
				requireContinued(t, runStreams(func(i int, s *callerStream) {
					// Servers refuse what asks for weights that they have replaced just now.
					for ; s.events < 1 && time.Since(endedAt) < waitTimeout; time.Sleep(10 * time.Millisecond) {
						s.try(f.nodes[i%3], 1, withNewKey)
					}
					for ; !s.complete && time.Since(endedAt) < waitTimeout && !strings.Contains(s.refusal, string(failure.KindOtherSoftware)); time.Sleep(10 * time.Millisecond) {
						s.try(f.nodes[(i+1)%3], streamLength, withNewKey)
					}
				}), softwareStreams)
			})
		}
	}
}

// requireInForce checks that a condition holds by a time after an outage.
func (fixture *fixture) requireInForce(t *testing.T, endedAt time.Time, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for !holds() {
		require.Less(t, time.Since(endedAt), within, "%s at %s", what, fixture.process.settings.Name)
		time.Sleep(10 * time.Millisecond)
	}
}
