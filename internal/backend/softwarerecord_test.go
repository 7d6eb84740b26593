package backend

import (
	"maps"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/property"
)

// recordStore is a store that holds a record of software versions, the nodes that follow it, and the versions that
// are listed.
type recordStore struct {
	now      time.Time
	at       coordination.Position
	versions SoftwareVersions
	listed   map[string]bool
	nodes    []*recordNode
	// began holds when a stream last began at each version.
	began map[string]time.Time
}

type recordNode struct {
	set *Set
	// frozen is the number of steps for which the node is out of touch, and observedAt when it last was not.
	frozen     int
	observedAt time.Time
}

// observe makes a node read the store.
func (s *recordStore) observe(n *recordNode) {
	n.set.SetSoftwareRecord(SoftwareRecord{Versions: maps.Clone(s.versions), Revision: s.at.Revision, AsOf: s.at}, s.now)
	for _, software := range []string{"v1", "v2"} {
		if s.listed[software] {
			n.set.Apply([]*Server{{Instance: software, Service: "s", Software: software}}, nil, s.now)
		} else {
			n.set.Apply(nil, []string{software}, s.now)
		}
	}
	n.set.ObserveListRead(s.now)
	n.observedAt = s.now
}

// step makes all nodes in touch read the store, write the record if that is due, and begin streams.
func (s *recordStore) step() {
	for range s.nodes {
		for _, n := range s.nodes {
			if n.frozen == 0 {
				s.observe(n)
			}
		}
		for _, n := range s.nodes {
			if record := n.set.StoredSoftwareRecord(); n.frozen == 0 && record.AsOf == s.at {
				versions, complete := n.set.Software(s.now)
				if replacement := record.Replacement(versions, complete); !reflect.DeepEqual(replacement, record.Versions) {
					s.at.Revision++
					s.versions = replacement
				}
			}
		}
	}
	query := Query{Service: "s", Distance: func(string) int { return 0 }, BeginsStream: true}
	for _, n := range s.nodes {
		if n.frozen > 0 {
			n.frozen--
			continue
		}
		s.observe(n)
		for _, c := range n.set.Candidates(nil, query, s.now) {
			s.began[c.Software] = s.now
		}
	}
}

// Guards against a version that is taken for the only one although streams of another one may be resumed, whatever
// is lost: the record's last writes with a restore of the store, nodes, a node's sight of the others for a time, or the
// record to another writer.
func TestOnlyVersionHasBegunAllStreams(t *testing.T) {
	concluded := 0
	property.CheckMany(t, 5000, func(t *rapid.T) {
		s := &recordStore{now: time.Unix(1000, 0), at: coordination.Position{Era: coordination.EraOf(rapid.Int64Range(0, 1).Draw(t, "first era")), Revision: 1}, versions: SoftwareVersions{}, listed: map[string]bool{"v1": true}, began: map[string]time.Time{}}
		start := func() {
			s.nodes = nil
			for range 2 {
				s.nodes = append(s.nodes, &recordNode{set: NewSet()})
			}
		}
		start()
		snapshotAt, snapshot := s.at, s.versions
		if s.step(); s.at.Era == coordination.EraOf(0) {
			// Whether a store without a record was restored shows in its era alone.
			snapshotAt, snapshot = s.at, s.versions
		}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 1, 50}).Draw(t, "seconds")) * time.Second)
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				software := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "software")
				switch rapid.SampledFrom([]string{"list", "unlist", "copy", "restore", "kill", "kill one", "freeze other", "spoil"}).Draw(t, "what") {
				case "list":
					s.listed[software] = true
				case "unlist":
					s.listed[software] = false
				case "copy":
					snapshotAt, snapshot = s.at, s.versions
				case "restore":
					era, _ := s.at.Era.Number()
					s.at = coordination.Position{Era: coordination.EraOf(era + 1), Revision: snapshotAt.Revision}
					s.versions = snapshot
				case "kill":
					start()
				case "kill one":
					s.nodes[1] = &recordNode{set: NewSet()}
				case "freeze other":
					s.nodes[0].frozen = 3
				case "spoil":
					s.at.Revision++
					s.versions = UnreadableSoftwareRecord(s.at.Revision, s.at).Versions
				}
			}
			s.step()
			for _, n := range s.nodes {
				only, known := n.set.OnlySoftware("s", s.now)
				if !known || n.observedAt != s.now {
					continue
				}
				concluded++
				for software, at := range s.began {
					if s.now.Sub(at) < SoftwareRetention {
						require.Equal(t, only, software, "a stream began at it %s ago", s.now.Sub(at))
					}
				}
			}
		}
	})
	require.Positive(t, concluded)
}

// Guards against a fleet that refuses resumed streams for good after a restore of the store.
func TestRecordIsCompleteAgainAfterRetention(t *testing.T) {
	now, at := time.Unix(1000, 0), coordination.Position{Era: coordination.EraOf(2), Revision: 7}
	for _, versions := range []SoftwareVersions{{}, {"s": {"v1"}}, {"s": {"v1"}, completeEraField: {"1"}}, {"s": {"v1"}, completeEraField: {}}, UnreadableSoftwareRecord(7, at).Versions} {
		s := &recordStore{now: now, at: at, versions: versions, listed: map[string]bool{"v1": true}, nodes: []*recordNode{{set: NewSet()}}, began: map[string]time.Time{}}
		s.step()
		set := s.nodes[0].set
		for age := time.Duration(0); age < SoftwareRetention; age += time.Second {
			s.now = now.Add(age)
			s.step()
			_, known := set.OnlySoftware("s", s.now)
			require.False(t, known)
			require.True(t, set.RequiresOrigins("s", s.now))
			require.True(t, set.ServicesRequiringOrigins(s.now)["s"])
			require.Equal(t, s.now, s.began["v1"], "streams begin meanwhile")
		}
		s.now = now.Add(SoftwareRetention)
		s.step()
		only, known := set.OnlySoftware("s", s.now)
		require.True(t, known)
		require.Equal(t, "v1", only)
		require.False(t, set.RequiresOrigins("s", s.now))
		next := &recordNode{set: NewSet()}
		s.observe(next)
		_, known = next.set.OnlySoftware("s", s.now)
		require.True(t, known, "the record is complete for nodes that start")
	}
}

// Guards against builds that write the record in turn: one without the field of eras keeps former ones beside the
// latest, and drops all after a time.
func TestErasThatFormerBuildsKeepStay(t *testing.T) {
	services := SoftwareVersions{"s": {"v1"}}
	for eras, complete := range map[string]bool{"1": false, "2": true, "1 2": true, "2 1": true, "1 3": false, "unreadable": false, "unreadable 2": true} {
		record := &SoftwareRecord{Versions: SoftwareVersions{"s": {"v1"}, completeEraField: strings.Fields(eras)}, AsOf: coordination.Position{Era: coordination.EraOf(2), Revision: 9}}
		require.Equal(t, complete, record.Complete(), eras)
		require.Equal(t, services, record.Services())
		require.Equal(t, record.Versions, record.Replacement(services, false), "who does not know all versions leaves the eras as they are")
		renewed := &SoftwareRecord{Versions: record.Replacement(services, true), AsOf: record.AsOf}
		require.True(t, renewed.Complete())
		require.Equal(t, complete, reflect.DeepEqual(record.Versions, renewed.Versions), "a complete record is not written again")
	}
	dropped := &SoftwareRecord{Versions: services, AsOf: coordination.Position{Era: coordination.EraOf(2), Revision: 9}}
	require.False(t, dropped.Complete())
	require.Equal(t, services, dropped.Replacement(services, false))
}
