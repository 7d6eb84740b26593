package origin

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// A ledger returns what was recorded for as long as the retention, and never another origin. A stream
// that was recorded with two origins has none.
func TestLedgerReturnsOnlyWhatWasRecorded(t *testing.T) {
	type entry struct {
		origin Origin
		at     time.Time
	}
	property.Check(t, func(t *rapid.T) {
		ledger, recorded, now := NewLedger(), map[Key]entry{}, time.Unix(1000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			key := Key(rapid.IntRange(1, 12).Draw(t, "key"))
			o := Origin{Service: "s", Software: rapid.SampledFrom([]string{"v1", "v2", ""}).Draw(t, "software")}
			before, found := ledger.Lookup(key, now)
			if rapid.Bool().Draw(t, "own") {
				ledger.Begin(key, o, rapid.Bool().Draw(t, "sent"), now)
			} else {
				ledger.Learn(key, o, now)
			}
			if found && before != o {
				o = Origin{}
			}
			recorded[key] = entry{o, now}
			for key, want := range recorded {
				got, found := ledger.Lookup(key, now)
				age := now.Sub(want.at)
				require.True(t, found || age >= retention, "a record is lost after %s", age)
				require.False(t, found && age > 2*retention, "a record is kept for %s", age)
				if found {
					require.Equal(t, want.origin, got)
				}
			}
		}
	})
}

// Tenants cannot name each other's streams, and concatenations differ.
func TestKeysOfTenantsDiffer(t *testing.T) {
	keys := map[Key]string{}
	for _, tenant := range []string{"", "a", "ab", "b"} {
		for _, id := range []string{"", "a", "ba", "bab", "c"} {
			name := fmt.Sprintf("%q %q", tenant, id)
			require.NotContains(t, keys, NewKey(tenant, id), "%s and %s", keys[NewKey(tenant, id)], name)
			keys[NewKey(tenant, id)] = name
		}
	}
}

func TestUnsentRecordsAreTakenOnce(t *testing.T) {
	ledger, now := NewLedger(), time.Unix(1000, 0)
	one, two := Origin{Service: "s", Software: "v1"}, Origin{Service: "t", Software: "v1"}
	for i := range 10 {
		ledger.Begin(Key(i), one, false, now)
	}
	ledger.Begin(20, one, true, now)
	ledger.Begin(21, two, false, now)
	ledger.Learn(22, one, now)
	services := map[string]bool{"s": true}
	first := ledger.TakeUnsent(services, 6, now)
	require.Len(t, first[one], 6)
	second := ledger.TakeUnsent(services, 100, now)
	require.Len(t, second, 1)
	require.Len(t, second[one], 4)
	require.NotSubset(t, first[one], second[one])
	require.Empty(t, ledger.TakeUnsent(services, 100, now))
	require.Len(t, ledger.TakeUnsent(map[string]bool{"t": true}, 100, now)[two], 1)
}

// At the size to design for a node records 11 streams a second itself and holds 22 of others. The
// ledger must stay a small part of the 32 MB that control may take.
func TestLedgerMemoryIsBounded(t *testing.T) {
	heap := func() int64 {
		// What other tests have left is freed in several rounds.
		for range 3 {
			runtime.GC()
			time.Sleep(10 * time.Millisecond)
		}
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before := heap()
	ledger, now := NewLedger(), time.Unix(1000, 0)
	const perSecond = 33
	peak := 0
	for second := range 600 {
		now = now.Add(time.Second)
		for range perSecond {
			ledger.Learn(Key(rand.Uint64()), Origin{Service: "s", Software: fmt.Sprint("v", second/300)}, now)
		}
		peak = max(peak, ledger.Len())
	}
	require.LessOrEqual(t, peak, int(perSecond*2*retention.Seconds())+perSecond)
	used := heap() - before
	t.Logf("%d records, %d bytes each", ledger.Len(), used/int64(ledger.Len()))
	require.Less(t, used, int64(2<<20))
	for range 3 * maxRecords {
		ledger.Learn(Key(rand.Uint64()), Origin{Service: "s", Software: "v1"}, now)
	}
	require.LessOrEqual(t, ledger.Len(), 2*maxRecords)
	runtime.KeepAlive(ledger)
}
