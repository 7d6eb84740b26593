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
func TestLeavingPersistsUntilNewerEpoch(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		record, _ := Observe(Record{Name: "e"}, Observation{Responded: true, Status: engineapi.Status{Epoch: "0"}})
		markedLeaving := map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			epoch := rapid.SampledFrom([]string{"0", "0", "0", "1", "2"}).Draw(t, "epoch")
			previous := record
			var changed bool
			switch rapid.SampledFrom([]string{"seen", "seen", "says it leaves", "listed", "silent"}).Draw(t, "signal") {
			case "seen":
				if epoch < record.Epoch {
					continue
				}
				record, changed = Observe(record, Observation{Responded: true, Status: engineapi.Status{Epoch: epoch}})
			case "says it leaves":
				record, changed = Observe(record, Observation{Responded: true, Status: engineapi.Status{Epoch: record.Epoch, Leaving: true}})
				markedLeaving[record.Epoch] = true
			case "listed":
				record, changed = MarkLeaving(record)
				markedLeaving[record.Epoch] = true
			case "silent":
				record, changed = Observe(record, Observation{})
			}
			require.Equal(t, markedLeaving[record.Epoch], record.Leaving)
			require.Equal(t, changed, record.Version == previous.Version+1)
			require.GreaterOrEqual(t, record.Version, previous.Version)
		}
	})
}

func newTable() *Table {
	table := NewTable()
	table.Configure(configuration.Compile(1, "c", &configuration.Declaration{Pools: []configuration.Pool{{Name: "p", Engines: []configuration.Backend{{Name: "e", Address: "127.0.0.1:1"}}}}}))
	return table
}

func TestMergeKeepsHighestVersion(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		table := newTable()
		records := []Record{}
		for version := range uint64(6) {
			records = append(records, Record{Name: "e", Version: version + 1, Epoch: rapid.SampledFrom([]string{"0", "1"}).Draw(t, "epoch"), Leaving: rapid.Bool().Draw(t, "leaving")})
		}
		for _, record := range rapid.Permutation(records).Draw(t, "order") {
			table.Merge(record)
		}
		merged, _ := table.Record("e")
		require.Equal(t, records[5], merged)
	})
}

func TestIncarnationContextEndsOnRestart(t *testing.T) {
	table := newTable()
	table.Merge(Record{Name: "e", Version: 1, Epoch: "0"})
	incarnation := table.IncarnationContext("e")
	require.NoError(t, incarnation.Err())
	table.Merge(Record{Name: "e", Version: 2, Epoch: "1"})
	require.Error(t, incarnation.Err())
	require.NoError(t, table.IncarnationContext("e").Err())
}

func TestEngineWithoutLoadReportUsesPoolMean(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable()
	engines := []configuration.Backend{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	table.Configure(configuration.Compile(1, "c", &configuration.Declaration{Pools: []configuration.Pool{{Name: "p", Engines: engines}}}))
	table.ReportLoad("a", engineapi.Load{PrefillTokens: 1000, Running: 4}, now)
	table.ReportLoad("b", engineapi.Load{PrefillTokens: 3000, Running: 8}, now)
	unreported := table.Candidates(nil, "p", "", "", now)[2]
	require.Equal(t, 2000, unreported.QueuedTokens)
	require.Equal(t, 6, unreported.Running)
	require.Zero(t, table.Candidates(nil, "p", "", "", now.Add(time.Minute))[0].QueuedTokens, "expired reports are ignored")
}

func TestUnreportedAttemptsCountUntilNextReport(t *testing.T) {
	now := time.Unix(100, 0)
	table := newTable()
	table.Merge(Record{Name: "e", Version: 1, Epoch: "0"})
	table.ReportLoad("e", engineapi.Load{PrefillTokens: 500}, now)
	table.Begin("e", 1000, now.Add(10*time.Millisecond))
	queued := func(at time.Time) int { return table.Candidates(nil, "p", "", "", at)[0].QueuedTokens }
	require.Equal(t, 1500, queued(now.Add(20*time.Millisecond)))
	table.ReportLoad("e", engineapi.Load{PrefillTokens: 1400}, now.Add(time.Second))
	require.Equal(t, 1400, queued(now.Add(time.Second)))
}
