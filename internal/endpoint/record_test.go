package endpoint

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/property"
)

// TestLeavingPersistsUntilNewerEpoch draws signals in any order and checks that
// only a new incarnation readmits a backend that was marked as leaving.
func TestLeavingStaysUntilANewerEpoch(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		record, _ := Observe(Record{Name: "e"}, Observation{Answered: true, Status: engineapi.Status{Epoch: "0"}})
		left := map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			epoch := rapid.SampledFrom([]string{"0", "0", "0", "1", "2"}).Draw(t, "epoch")
			before := record
			var changed bool
			switch rapid.SampledFrom([]string{"seen", "seen", "says it leaves", "listed", "silent"}).Draw(t, "signal") {
			case "seen":
				if epoch < record.Epoch {
					continue
				}
				record, changed = Observe(record, Observation{Answered: true, Status: engineapi.Status{Epoch: epoch}})
			case "says it leaves":
				record, changed = Observe(record, Observation{Answered: true, Status: engineapi.Status{Epoch: record.Epoch, Leaving: true}})
				left[record.Epoch] = true
			case "listed":
				record, changed = Leave(record)
				left[record.Epoch] = true
			case "silent":
				record, changed = Observe(record, Observation{})
			}
			require.Equal(t, left[record.Epoch], record.Leaving)
			require.Equal(t, changed, record.Version == before.Version+1)
			require.GreaterOrEqual(t, record.Version, before.Version)
		}
	})
}

func newTable() *Table {
	table := NewTable()
	table.Configure(configuration.Compile(1, "c", &configuration.Declaration{Pools: []configuration.Pool{{Name: "p", Engines: []configuration.Backend{{Name: "e", Address: "127.0.0.1:1"}}}}}))
	return table
}

func TestTheHighestVersionWinsInAnyOrder(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		table := newTable()
		records := []Record{}
		for version := range uint64(6) {
			records = append(records, Record{Name: "e", Version: version + 1, Epoch: rapid.SampledFrom([]string{"0", "1"}).Draw(t, "epoch"), Leaving: rapid.Bool().Draw(t, "leaving")})
		}
		for _, record := range rapid.Permutation(records).Draw(t, "order") {
			table.Merge(record)
		}
		kept, _ := table.Record("e")
		require.Equal(t, records[5], kept)
	})
}

func TestStreamsHearOfTheEndOfTheirIncarnation(t *testing.T) {
	table := newTable()
	table.Merge(Record{Name: "e", Version: 1, Epoch: "0"})
	alive := table.Alive("e")
	require.NoError(t, alive.Err())
	table.Merge(Record{Name: "e", Version: 2, Epoch: "1"})
	require.Error(t, alive.Err())
	require.NoError(t, table.Alive("e").Err())
}

func TestEngineThatNothingWasHeardOfCountsAsTypical(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable()
	engines := []configuration.Backend{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	table.Configure(configuration.Compile(1, "c", &configuration.Declaration{Pools: []configuration.Pool{{Name: "p", Engines: engines}}}))
	table.Report("a", engineapi.Load{PrefillTokens: 1000, Running: 4}, now)
	table.Report("b", engineapi.Load{PrefillTokens: 3000, Running: 8}, now)
	silent := table.Candidates(nil, "p", "", "", now)[2]
	require.Equal(t, 2000, silent.QueuedTokens)
	require.Equal(t, 6, silent.Running)
	require.Zero(t, table.Candidates(nil, "p", "", "", now.Add(time.Minute))[0].QueuedTokens, "expired reports are ignored")
}

func TestWorkSentAfterAReportCountsUntilTheNext(t *testing.T) {
	now := time.Unix(100, 0)
	table := newTable()
	table.Merge(Record{Name: "e", Version: 1, Epoch: "0"})
	table.Report("e", engineapi.Load{PrefillTokens: 500}, now)
	table.Begin("e", 1000, now.Add(10*time.Millisecond))
	queued := func(at time.Time) int { return table.Candidates(nil, "p", "", "", at)[0].QueuedTokens }
	require.Equal(t, 1500, queued(now.Add(20*time.Millisecond)))
	table.Report("e", engineapi.Load{PrefillTokens: 1400}, now.Add(time.Second))
	require.Equal(t, 1400, queued(now.Add(time.Second)))
}
