package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/property"
)

// A service counts as mixed while a second version is listed and for the retention after that, and
// nobody concludes on a single version before the history is complete.
func TestSoftwareHistoryCoversRetention(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		set, now := NewSet(), time.Unix(1000, 0)
		// begin is when the first server was listed.
		begin := time.Time{}
		lastListed := map[string]time.Time{}
		listed := map[string]string{}
		complete, revision := false, int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "seconds")) * time.Second)
			for _, software := range listed {
				lastListed[software] = now
			}
			instance := fmt.Sprint("i-", rapid.IntRange(0, 3).Draw(t, "instance"))
			if software := rapid.SampledFrom([]string{"v1", "v2", "gone"}).Draw(t, "change"); software == "gone" {
				set.Apply(nil, []string{instance}, now)
				delete(listed, instance)
			} else {
				set.Apply([]*Server{{Instance: instance, Service: "s", Software: software}}, nil, now)
				listed[instance], lastListed[software] = software, now
				if begin.IsZero() {
					begin = now
				}
			}
			if rapid.IntRange(0, 20).Draw(t, "recorded") == 0 {
				revision++
				// The record of another node begins to contain the version with this read.
				set.SetSoftwareRecord(SoftwareRecord{Versions: SoftwareVersions{}, AsOf: coordination.Position{Era: coordination.EraOf(1), Revision: revision}}, now)
				revision++
				set.SetSoftwareRecord(SoftwareRecord{Versions: SoftwareVersions{"s": {"v3"}}, AsOf: coordination.Position{Era: coordination.EraOf(1), Revision: revision}}, now)
				complete = true
				lastListed["v3"] = now
			}
			recent := 0
			for _, at := range lastListed {
				if now.Sub(at) <= SoftwareRetention {
					recent++
				}
			}
			require.Equal(t, recent > 1, set.MixesSoftware("s", now))
			require.Equal(t, recent > 1, set.MixedServices(now)["s"])
			only, known := set.OnlySoftware("s", now)
			if known {
				require.Equal(t, 1, recent)
				require.True(t, complete || !begin.IsZero() && now.Sub(begin) >= SoftwareRetention)
				require.LessOrEqual(t, now.Sub(lastListed[only]), SoftwareRetention)
			}
			for _, software := range []string{"v1", "v2"} {
				found := false
				for _, other := range listed {
					found = found || other == software
				}
				require.Equal(t, found, set.ListsSoftware("s", software))
			}
		}
	})
}

// Nodes of former builds pass on no software versions. Those that were read from the store are kept,
// and new ones are missed.
func TestMissingSoftwareIsKept(t *testing.T) {
	set, now := NewSet(), time.Unix(1000, 0)
	server := Server{Instance: "i", Born: 5, Service: "s"}
	set.Apply([]*Server{&server}, nil, now)
	require.True(t, set.LacksSoftware())
	require.True(t, set.MixesSoftware("s", now), "an unknown version may be any")
	known := server
	known.Software = "v1"
	set.SetSoftware([]Server{known, {Instance: "other", Software: "v2"}}, now)
	require.False(t, set.LacksSoftware())
	require.False(t, set.MixesSoftware("s", now))
	draining := server
	draining.Draining = true
	set.Apply([]*Server{&draining}, nil, now)
	require.False(t, set.LacksSoftware())
	require.Equal(t, "v1", set.SoftwareOf("i@5"))
	restarted := server
	restarted.Born = 6
	set.Apply([]*Server{&restarted}, nil, now)
	require.True(t, set.LacksSoftware(), "the next incarnation may have other software")
	require.Empty(t, set.SoftwareOf("i@5"), "the former incarnation is gone")
}

// Guards against the version of a former incarnation being taken for that of a process that has
// started since.
func TestIncarnationIsCertainOnlyWithEvidence(t *testing.T) {
	const delay = time.Second
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	set := NewSet()
	set.Apply([]*Server{{Instance: "i", Born: 5, Service: "s", Software: "v1"}, {Instance: "unborn", Service: "s"}}, nil, start)
	require.True(t, set.IsIncarnation("unborn", time.Time{}, delay), "its ID is its own")
	require.False(t, set.IsIncarnation("i@5", time.Time{}, delay), "the connection may be of any age")
	require.False(t, set.IsIncarnation("i@5", at(0), delay))
	set.ObserveListRead(at(0.9))
	require.False(t, set.IsIncarnation("i@5", at(0), delay), "a process that has started since may not be listed yet")
	set.ObserveListRead(at(1.1))
	require.True(t, set.IsIncarnation("i@5", at(0), delay))
	require.False(t, set.IsIncarnation("i@5", at(0.5), delay))
	require.True(t, set.ObserveBorn("i@5", 5, at(0.6)))
	require.True(t, set.IsIncarnation("i@5", at(0.5), delay))
	require.False(t, set.IsIncarnation("i@5", at(0.7), delay))
	require.False(t, set.ObserveBorn("i@5", 6, at(2)), "another process has answered")
	set.Apply([]*Server{{Instance: "i", Born: 6, Service: "s", Software: "v2"}}, nil, at(3))
	require.False(t, set.IsIncarnation("i@5", at(0), delay))
	require.Equal(t, "v2", set.SoftwareOf("i@6"))
}

func TestCandidatesOfOneSoftwareVersion(t *testing.T) {
	set, now := NewSet(), time.Unix(1000, 0)
	var servers []*Server
	for i := range 20 {
		servers = append(servers, &Server{Instance: fmt.Sprint("i", i), Service: "s", Software: fmt.Sprint("v", i%4)})
	}
	set.Apply(servers, nil, now)
	query := Query{Service: "s", Distance: func(string) int { return 0 }, Software: "v2", Limit: 4}
	candidates := set.Candidates(nil, query, now)
	require.Len(t, candidates, 4, "the limit counts servers of the version")
	for _, c := range candidates {
		require.Equal(t, "v2", c.Software)
	}
	query.Limit = 0
	require.Len(t, set.Candidates(nil, query, now), 5)
}

// Streams that may be resumed begin only at versions of the latest record, whatever nodes send each other in
// which order, and the history covers all versions of that record.
func TestStreamsBeginAtRecordedVersions(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		set, now := NewSet(), time.Unix(1000, 0)
		query := Query{Service: "s", Distance: func(string) int { return 0 }, BeginsStream: true}
		var latest *SoftwareRecord
		knowsAll := false
		listed := map[string]string{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Second)
			set.ObserveListRead(now)
			software := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "software")
			if rapid.Bool().Draw(t, "lists") {
				instance := "i-" + software
				set.Apply([]*Server{{Instance: instance, Service: "s", Software: software}}, nil, now)
				listed[instance] = software
			} else {
				versions := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"v1", "v2", "v3"}), 0, 3, rapid.ID).Draw(t, "versions")
				record := SoftwareRecord{Versions: SoftwareVersions{"s": versions}, AsOf: coordination.Position{Era: coordination.EraOf(rapid.Int64Range(1, 2).Draw(t, "era")), Revision: rapid.Int64Range(1, 9).Draw(t, "revision")}}
				if era := rapid.Int64Range(0, 2).Draw(t, "complete in era"); era > 0 {
					record.Versions[completeEraField] = []string{fmt.Sprint(era)}
				}
				set.SetSoftwareRecord(record, now)
				if latest == nil || !record.AsOf.Before(latest.AsOf) {
					latest = &record
					knowsAll = knowsAll || record.Complete()
				}
			}
			begins, unrecorded := map[string]bool{}, false
			for _, c := range set.Candidates(nil, query, now) {
				begins[c.Software] = true
			}
			for _, software := range listed {
				recorded := latest != nil && latest.contains("s", software)
				require.Equal(t, recorded, begins[software])
				unrecorded = unrecorded || !recorded
			}
			require.Equal(t, unrecorded, set.ListsUnrecordedSoftware("s", now))
			require.Equal(t, unrecorded, len(set.UnrecordedSoftware()) > 0)
			_, complete := set.Software(now)
			require.Equal(t, knowsAll, complete)
			if latest != nil {
				versions, _ := set.Software(now)
				for _, software := range latest.Versions["s"] {
					require.Contains(t, versions["s"], software)
				}
			}
		}
	})
}

// Guards against the version of a server's former incarnation being taken for that of a process which only the
// server's own answers have shown.
func TestRestartedServerBeginsNoStreamBeforeItsVersionIsListed(t *testing.T) {
	now, query := time.Unix(1000, 0), Query{Service: "s", Distance: func(string) int { return 0 }, BeginsStream: true}
	newSet := func() *Set {
		set := NewSet()
		set.SetSoftwareRecord(SoftwareRecord{Versions: SoftwareVersions{"s": {"v1"}}, AsOf: coordination.Position{Era: coordination.EraOf(1), Revision: 1}}, now)
		set.Apply([]*Server{{Instance: "i", Born: 5, Service: "s", Software: "v1"}}, nil, now)
		require.Len(t, set.Candidates(nil, query, now), 1)
		require.False(t, set.ListsUnrecordedSoftware("s", now))
		return set
	}
	asked := newSet()
	require.False(t, asked.ObserveBorn("i@5", 6, now))
	inspected := newSet()
	inspected.ObserveRestart(Server{Instance: "i", Born: 5, Service: "s", Software: "v1"}, 6, nil, now)
	require.Empty(t, inspected.SoftwareOf("i@6"))
	for _, set := range []*Set{asked, inspected} {
		require.Empty(t, set.Candidates(nil, query, now))
		require.True(t, set.ListsUnrecordedSoftware("s", now))
		others := query
		others.BeginsStream = false
		require.Len(t, set.Candidates(nil, others, now), 1, "other requests are served")
		set.Apply([]*Server{{Instance: "i", Born: 6, Service: "s", Software: "v2"}}, nil, now)
		require.Empty(t, set.Candidates(nil, query, now), "the version is not recorded")
		require.Equal(t, "v2", set.SoftwareOf("i@6"))
		set.SetSoftwareRecord(SoftwareRecord{Versions: SoftwareVersions{"s": {"v1", "v2"}}, AsOf: coordination.Position{Era: coordination.EraOf(1), Revision: 2}}, now)
		require.Len(t, set.Candidates(nil, query, now), 1)
	}

	mistaken := newSet()
	mistaken.ObserveBorn("i@5", 6, now)
	require.True(t, mistaken.ObserveBorn("i@5", 5, now))
	require.Len(t, mistaken.Candidates(nil, query, now), 1)
	mistaken.ObserveBorn("i@5", 6, now)
	require.Len(t, mistaken.Candidates(nil, query, now.Add(otherProcessRetention)), 1, "it is asked again")
}
