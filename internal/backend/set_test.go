package backend

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/property"
	"github.com/cloverrail/cloverrail/internal/routing"
)

var (
	begin        = time.Unix(1000, 0)
	zoneDistance = func(zone string) int { return map[string]int{"a": 0, "b": 1}[zone] }
	query        = Query{Service: "s", Model: "m", Distance: zoneDistance}
)

func server(instance string) Server {
	return Server{Instance: instance, Service: "s", Zone: "a", Versions: map[string]int64{"m": 1}}
}

// candidateOf returns the candidate of an instance.
func candidateOf(t require.TestingT, set *Set, query Query, now time.Time, instance string) routing.Candidate {
	for _, candidate := range set.Candidates(nil, query, now) {
		if candidate.Endpoint == instance {
			return candidate
		}
	}
	require.Fail(t, "not among the candidates", instance)
	return routing.Candidate{}
}

func TestUnlistedServerIsLastResort(t *testing.T) {
	set := NewSet()
	set.Update([]Server{server("x"), server("y")}, begin)
	changes := set.Update([]Server{server("y")}, begin)
	require.Equal(t, []Change{{Server: server("x"), Gone: true}}, changes)
	require.Len(t, set.Candidates(nil, query, begin), 1)
	set.ObserveMissingEntries(begin.Add(-time.Second).Add(ReregistrationTime))
	set.Update(nil, begin)
	require.Empty(t, unlistedCandidates(set, "x", begin), "it left before the disruption")
	require.Len(t, unlistedCandidates(set, "y", begin), 1, "the list may have lost its entry")
	set.ObserveMissingEntries(begin.Add(ReregistrationTime))
	require.Len(t, unlistedCandidates(set, "y", begin.Add(ReregistrationTime-1)), 1)
	require.Empty(t, unlistedCandidates(set, "y", begin.Add(ReregistrationTime)), "it has not come back")
	set.ObserveMissingEntries(begin.Add(ReregistrationTime + time.Second).Add(ReregistrationTime))
	require.Empty(t, unlistedCandidates(set, "x", begin.Add(ReregistrationTime+time.Second)), "a later disruption brings nothing back")
	set.Update(nil, begin.Add(unlistedRetention+time.Second))
	require.Empty(t, set.Candidates(nil, query, begin))
}

// unlistedCandidates returns the candidates with the name of an instance.
func unlistedCandidates(set *Set, instance string, now time.Time) (found []routing.Candidate) {
	for _, c := range set.Candidates(nil, query, now) {
		if c.Endpoint == instance {
			found = append(found, c)
		}
	}
	return found
}

// Guards against requests to a server that a sound store has shown as gone, since no other one is left.
func TestServerThatLeftIsNoLastResort(t *testing.T) {
	set := NewSet()
	set.Update([]Server{server("x")}, begin)
	set.Update(nil, begin)
	require.Empty(t, set.Candidates(nil, query, begin))
	set.Update([]Server{server("x")}, begin.Add(time.Second))
	require.Len(t, set.Candidates(nil, query, begin.Add(time.Second)), 1, "it is listed again")
}

func TestDrainingServerIsNeverReused(t *testing.T) {
	set := NewSet()
	draining := server("x")
	draining.Draining = true
	set.Update([]Server{draining}, begin)
	require.True(t, candidateOf(t, set, query, begin, "x").Leaving)
	set.Update(nil, begin)
	require.Empty(t, set.Candidates(nil, query, begin), "not even as a last resort once unlisted")
}

// Guards against requests to a server that drains, after the store came back from a copy in which its entry is ready.
func TestDrainingServerIsNotReusedAfterRestore(t *testing.T) {
	set := NewSet()
	ready := server("x")
	ready.Born = 1
	draining := ready
	draining.Draining = true
	set.Update([]Server{ready}, begin)
	set.Update([]Server{draining}, begin)
	changes := set.Update([]Server{ready}, begin.Add(time.Second))
	require.Empty(t, changes, "the server drains as before")
	require.True(t, candidateOf(t, set, query, begin.Add(time.Second), ready.Incarnation()).Leaving)
	require.False(t, set.InService("x"))
	set.Update(nil, begin.Add(time.Second))
	later := begin.Add(2 * time.Second).Add(unlistedRetention)
	set.Update(nil, later)
	set.Update([]Server{ready}, later)
	require.True(t, candidateOf(t, set, query, later, ready.Incarnation()).Leaving, "its entry was removed in between")
	restarted := ready
	restarted.Born = 2
	set.Update([]Server{restarted}, later)
	require.False(t, candidateOf(t, set, query, later, restarted.Incarnation()).Leaving, "another process has its ID")
}

// Guards against servers that are never used again, since incarnations without a start time cannot be told apart.
func TestServerWithoutStartTimeReturnsAfterDraining(t *testing.T) {
	set := NewSet()
	draining := server("x")
	draining.Draining = true
	set.Update([]Server{draining}, begin)
	set.Update([]Server{server("x")}, begin)
	require.False(t, candidateOf(t, set, query, begin, "x").Leaving)
}

func TestModelVersionNeverDecreases(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		set := NewSet()
		set.Update([]Server{server("x")}, begin)
		newest := int64(1)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			version := rapid.Int64Range(1, 9).Draw(t, "version")
			newest = max(newest, version)
			if rapid.Bool().Draw(t, "learned") {
				set.ObserveVersions("x", map[string]int64{"m": version})
			} else {
				listed := server("x")
				listed.Versions["m"] = version
				set.Update([]Server{listed}, begin)
			}
			require.Equal(t, newest, candidateOf(t, set, query, begin, "x").Version)
			older := query
			older.MinimumVersion = newest + 1
			require.False(t, candidateOf(t, set, older, begin, "x").Ready)
		}
	})
}

func TestLoadingServerIsNotReady(t *testing.T) {
	set := NewSet()
	set.Update([]Server{server("x"), server("y")}, begin)
	set.SetLoads(Loads{Loading: []Load{{Instance: "x", Model: "m", Version: 2}}}, begin)
	require.False(t, candidateOf(t, set, query, begin, "x").Ready)
	require.True(t, candidateOf(t, set, query, begin, "y").Ready)
	require.True(t, candidateOf(t, set, query, begin.Add(loadingTTL), "x").Ready, "the rollout holder may be gone")
	set.ObserveVersions("x", map[string]int64{"m": 2})
	require.True(t, candidateOf(t, set, query, begin, "x").Ready)
	set.SetLoads(Loads{Loading: []Load{{Instance: "y", Model: "m", Version: 2}}}, begin)
	set.SetLoads(Loads{Loaded: []Load{{Instance: "y", Model: "m", Version: 2}}}, begin)
	require.True(t, candidateOf(t, set, query, begin, "y").Ready)
	require.Equal(t, int64(2), candidateOf(t, set, query, begin, "y").Version, "known before the list is updated")
	set.SetLoads(Loads{Loading: []Load{{Instance: "y", Model: "other", Version: 9}}}, begin)
	require.True(t, candidateOf(t, set, query, begin, "y").Ready, "loading another model does not matter")
}

func TestInFlightCountIsExact(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		set := NewSet()
		set.Update([]Server{server("x")}, begin)
		open := []*Attempt{}
		results := []exchange.Result{
			exchange.ResultNeutral, exchange.ResultServed, exchange.ResultFaulty, exchange.ResultRefused,
			exchange.ResultUnreached, exchange.ResultBroken, exchange.ResultSilent,
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(open) == 0 || rapid.Bool().Draw(t, "begins") {
				open = append(open, send(set, "x", 100, begin))
				continue
			}
			index := rapid.IntRange(0, len(open)-1).Draw(t, "which")
			if rapid.Bool().Draw(t, "started") {
				open[index].ResponseStarted(begin)
			}
			open[index].End(rapid.SampledFrom(results).Draw(t, "result"), begin)
			open[index].End(exchange.ResultServed, begin)
			open = append(open[:index], open[index+1:]...)
		}
		require.Equal(t, len(open), candidateOf(t, set, query, begin, "x").InFlight)
		for _, attempt := range open {
			attempt.End(exchange.ResultNeutral, begin)
		}
		require.Zero(t, candidateOf(t, set, query, begin, "x").InFlight)
		require.Zero(t, candidateOf(t, set, query, begin, "x").QueuedTokens)
	})
}

func TestUnreachableServerOpensBreakerAndIsProbedOnce(t *testing.T) {
	set := NewSet()
	set.Update([]Server{server("x")}, begin)
	send(set, "x", 0, begin).End(exchange.ResultUnreached, begin)
	require.True(t, candidateOf(t, set, query, begin, "x").BreakerOpen)
	later := begin.Add(connectBreaker.OpenDuration)
	require.False(t, candidateOf(t, set, query, later, "x").BreakerOpen)
	probe := send(set, "x", 0, later)
	require.True(t, candidateOf(t, set, query, later, "x").BreakerOpen, "one probe at a time")
	probe.End(exchange.ResultNeutral, later)
	require.False(t, candidateOf(t, set, query, later, "x").BreakerOpen, "the probe was inconclusive")
	send(set, "x", 0, later).End(exchange.ResultServed, later)
	require.False(t, candidateOf(t, set, query, later, "x").BreakerOpen)
}

func TestFailureRateDecays(t *testing.T) {
	set := NewSet()
	set.Update([]Server{server("x")}, begin)
	require.Zero(t, candidateOf(t, set, query, begin, "x").FailureRate)
	for range 4 {
		send(set, "x", 0, begin).End(exchange.ResultFaulty, begin)
	}
	fresh := candidateOf(t, set, query, begin, "x").FailureRate
	require.InDelta(t, 4.0/(4+priorAttempts), fresh, 1e-9)
	require.Less(t, candidateOf(t, set, query, begin.Add(failureHalfLife), "x").FailureRate, fresh)
}

// Guards against shedding servers being selected as often as those that accept requests.
func TestRefusalsRaiseFailureRate(t *testing.T) {
	set := NewSet()
	set.Update([]Server{server("x")}, begin)
	refuse := func(now time.Time) {
		for range 4 {
			send(set, "x", 0, now).End(exchange.ResultRefused, now)
		}
	}
	failureRate := func(now time.Time) float64 { return candidateOf(t, set, query, now, "x").FailureRate }
	refuse(begin)
	refused := failureRate(begin)
	require.InDelta(t, 4.0/(4+priorAttempts), refused, 1e-9)
	for range 3 {
		send(set, "x", 0, begin).End(exchange.ResultServed, begin)
	}
	require.Less(t, failureRate(begin), refused, "accepted requests lower the rate")
	require.Less(t, failureRate(begin.Add(failureHalfLife)), failureRate(begin))
	send(set, "x", 0, begin).End(exchange.ResultFaulty, begin)
	require.Greater(t, failureRate(begin), refused/2)
	require.Less(t, failureRate(begin), 1.0)

	later := begin.Add(time.Minute)
	before := failureRate(later)
	set.Notice("x", Notice{RetryAfter: time.Second}, later)
	refuse(later)
	require.Equal(t, before, failureRate(later), "refusals during a backoff do not count")

	later = later.Add(time.Minute)
	refuse(later)
	require.Positive(t, failureRate(later))
	set.ObserveVersions("x", map[string]int64{"m": 2})
	require.Less(t, failureRate(later), 0.01, "a new version resets the refusals")
}

func TestAnyResponseShowsServerIsAlive(t *testing.T) {
	set := NewSet()
	set.Update([]Server{server("x")}, begin)
	waiting, other := send(set, "x", 0, begin), send(set, "x", 0, begin)
	require.False(t, waiting.ServerRespondedSince(begin))
	other.ResponseStarted(begin.Add(time.Second))
	require.True(t, waiting.ServerRespondedSince(begin))
	require.False(t, waiting.ServerRespondedSince(begin.Add(time.Second)))
}

// Guards against asking again and again for the instance of an entry that names the address of another server, which
// charges a retry each time.
func TestTwinEntryIsAskedForRarely(t *testing.T) {
	start := time.Unix(1000, 0)
	set := NewSet()
	list := []Server{{Instance: "true", Service: "s", Address: "a"}, {Instance: "twin", Service: "s", Address: "a"}}
	eligible := func(instance string, now time.Time) bool {
		set.Update(slices.Clone(list), now)
		return slices.ContainsFunc(set.Candidates(nil, Query{Service: "s", Distance: func(string) int { return 0 }}, now), func(c routing.Candidate) bool { return c.Endpoint == instance })
	}
	asked := 0
	for now := start; now.Before(start.Add(6 * time.Hour)); now = now.Add(time.Second) {
		require.True(t, eligible("true", now), "the server at the address is used")
		if eligible("twin", now) {
			asked++
			// Two attempts that were sent together are answered together.
			set.Gone("twin", now)
			set.Gone("twin", now.Add(100*time.Millisecond))
		}
	}
	require.LessOrEqual(t, asked, 9+6, "the exclusion doubles up to an hour")
	require.GreaterOrEqual(t, asked, 6, "it is not for good")

	now := start.Add(6 * time.Hour)
	if eligible("twin", now) {
		set.Gone("twin", now)
	}
	list[1].Address = "b"
	require.True(t, eligible("twin", now.Add(replacedRetention)), "at another address it counts as any server")
}

// Guards against asking for the instance of each of many entries that name the address of one server.
func TestOneAnswerExcludesAllTwins(t *testing.T) {
	set := NewSet()
	list := []Server{{Instance: "true", Born: 5, Service: "s", Address: "a"}, {Instance: "elsewhere", Service: "s", Address: "b"}}
	for i := range 40 {
		list = append(list, Server{Instance: fmt.Sprint("twin-", i), Service: "s", Address: "a"})
	}
	set.Update(list, begin)
	names := func(now time.Time) (names []string) {
		for _, c := range set.Candidates(nil, Query{Service: "s", Distance: zoneDistance}, now) {
			names = append(names, c.Endpoint)
		}
		return names
	}
	set.ObserveOtherInstance("twin-7", "", begin)
	require.Len(t, names(begin), 41, "an instance that does not name itself may be any other one")
	set.ObserveOtherInstance("twin-8", "true", begin)
	require.ElementsMatch(t, []string{"true@5", "elsewhere"}, names(begin))
	require.Len(t, names(begin.Add(replacedRetention)), 42)
}

// Guards against a server being excluded for long by answers of others that were wrong: it has served since.
func TestServerThatServesIsExcludedBriefly(t *testing.T) {
	now := time.Unix(1000, 0)
	set := NewSet()
	set.Update([]Server{{Instance: "i", Service: "s", Address: "a"}}, now)
	for range 9 {
		set.Gone("i", now)
		now = now.Add(replacedRetention)
		attempt := set.Begin(Placement{Chosen: routing.Candidate{Endpoint: "i"}, Query: query, StillValid: func(*routing.Candidate) bool { return true }}, now)
		require.NotNil(t, attempt, "the exclusion is as long as the first")
		attempt.End(exchange.ResultServed, now)
	}
}

func TestReplacedServerIsExcludedUntilRetentionEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	set := NewSet()
	list := []Server{{Instance: "old", Service: "s", Address: "a"}, {Instance: "other", Service: "s", Address: "b"}}
	set.Update(list, now)
	set.Gone("old", now)
	set.Gone("nobody", now)
	names := func(at time.Time) []string {
		var names []string
		for _, c := range set.Candidates(nil, Query{Service: "s", Distance: func(string) int { return 0 }}, at) {
			names = append(names, c.Endpoint)
		}
		return names
	}
	set.Update(list, now.Add(time.Second))
	require.Equal(t, []string{"other"}, names(now.Add(time.Second)), "the list lags behind")
	require.Len(t, set.Servers(now.Add(time.Second)), 1)
	require.Len(t, names(now.Add(replacedRetention)), 2, "a wrong answer does not exclude a server for good")

	// A replaced server in the list does not make an unlisted one usable.
	set.Update(list[:1], now.Add(time.Second))
	require.Empty(t, names(now.Add(time.Second)))
}

// Guards against requests to a server whose load takes longer than loadingTTL because it waits
// for long runs: the loading state lasts while the holder renews it.
func TestLoadingStateIsExtendedByRenewal(t *testing.T) {
	now := time.Unix(1000, 0)
	set := NewSet()
	set.Update([]Server{{Instance: "i-1", Service: "s", Versions: map[string]int64{"m": 1}}}, now)
	loads := Loads{Loading: []Load{{Instance: "i-1", Model: "m", Version: 2}}}
	loading := func() bool {
		query := Query{Service: "s", Model: "m", Distance: func(string) int { return 0 }}
		return set.Candidates(nil, query, now)[0].Loading
	}
	for range 10 {
		set.SetLoads(loads, now)
		now = now.Add(loadingTTL - time.Millisecond)
		require.True(t, loading())
	}
	now = now.Add(time.Millisecond)
	require.False(t, loading(), "the rollout holder may be gone")
}

// A deferred attempt does not count as work that delays others until it has started.
func TestDeferredAttemptCountsOnceStarted(t *testing.T) {
	set := NewSet()
	set.Update([]Server{{Instance: "x", Service: "s", Slots: 4}}, begin)
	running := func() int {
		candidates := set.Candidates(nil, Query{Service: "s", Distance: func(string) int { return 0 }}, begin)
		require.Equal(t, 4, candidates[0].Slots)
		require.Zero(t, candidates[0].QueuedTokens)
		return candidates[0].Running
	}
	deferred, other := sendDeferred(set, "x", begin), sendDeferred(set, "x", begin)
	require.Zero(t, running())
	require.Empty(t, set.Work(begin))
	deferred.ResponseStarted(begin)
	deferred.ResponseStarted(begin)
	require.Equal(t, 1, running())
	other.End(exchange.ResultBroken, begin)
	require.Equal(t, 1, running())
	deferred.End(exchange.ResultServed, begin)
	require.Zero(t, running())
}
