package origin

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/property"
)

// storeLatency and peerLatency are how long a call to the store and one to another node take.
const (
	storeLatency = 4 * time.Millisecond
	peerLatency  = 2 * time.Millisecond
)

var errStore = errors.New("the store does not answer")

// archiveStore is a store with entries and leases. It is safe for concurrent use.
type archiveStore struct {
	mutex    sync.Mutex
	revision int64
	entries  map[string]coordination.Entry
	leases   map[int64]time.Time
	leaseOf  map[string]int64
	// writes, renewals, reads and bytes count calls and the bytes of values.
	writes, renewals, reads, bytes int
	// fault returns how the next call fails.
	fault func() archiveFault
}

// archiveFault is how a call to the store fails.
type archiveFault int

const (
	archiveSound archiveFault = iota
	// archiveRefused is not done, archiveLost is done without a response, archiveLate is done lateBy later
	// without a response, and archiveDoubled is done twice.
	archiveRefused
	archiveLost
	archiveLate
	archiveDoubled
	archiveFaults
)

const lateBy = 3 * time.Second

func newArchiveStore() *archiveStore {
	return &archiveStore{entries: map[string]coordination.Entry{}, leases: map[int64]time.Time{}, leaseOf: map[string]int64{}, fault: func() archiveFault { return archiveSound }}
}

// call performs a call with the next fault.
func (s *archiveStore) call(perform func()) error {
	time.Sleep(storeLatency)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, expiresAt := range s.leases {
		if !time.Now().Before(expiresAt) {
			s.end(id)
		}
	}
	switch s.fault() {
	case archiveRefused:
		return errStore
	case archiveLost:
		perform()
		return errStore
	case archiveLate:
		time.AfterFunc(lateBy, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			perform()
		})
		return errStore
	case archiveDoubled:
		// The second time has no effect on the response.
		time.AfterFunc(lateBy, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			perform()
		})
	}
	perform()
	return nil
}

func (s *archiveStore) end(lease int64) {
	delete(s.leases, lease)
	for key, id := range s.leaseOf {
		if id == lease {
			delete(s.entries, key)
			delete(s.leaseOf, key)
		}
	}
}

func (s *archiveStore) Grant(_ context.Context, ttl time.Duration) (lease coordination.Lease, err error) {
	err = s.call(func() {
		s.writes++
		s.revision++
		s.leases[s.revision] = time.Now().Add(ttl)
		lease = coordination.Lease{ID: s.revision, TTL: ttl}
	})
	if err != nil {
		return coordination.Lease{}, err
	}
	return lease, nil
}

func (s *archiveStore) Renew(_ context.Context, lease int64) (exists bool, err error) {
	err = s.call(func() {
		s.renewals++
		if _, exists = s.leases[lease]; exists {
			s.leases[lease] = time.Now().Add(archiveTTL)
		}
	})
	return exists && err == nil, err
}

func (s *archiveStore) WriteLeased(_ context.Context, key string, value []byte, lease, revision int64) (writtenAt int64, written bool, err error) {
	err = s.call(func() {
		s.writes++
		s.bytes += len(value)
		if _, exists := s.leases[lease]; !exists || s.entries[key].Revision != revision {
			return
		}
		s.revision++
		s.entries[key] = coordination.Entry{Key: key, Value: value, Revision: s.revision}
		s.leaseOf[key] = lease
		writtenAt, written = s.revision, true
	})
	if err != nil {
		return 0, false, err
	}
	return writtenAt, written, nil
}

func (s *archiveStore) List(_ context.Context, prefix string) (entries []coordination.Entry, err error) {
	err = s.call(func() {
		s.reads++
		for key, entry := range s.entries {
			if strings.HasPrefix(key, prefix) {
				entries = append(entries, entry)
			}
		}
	})
	return entries, err
}

// archived returns all streams that the store has.
func (s *archiveStore) archived(t require.TestingT) map[Key]Origin {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	streams := map[Key]Origin{}
	for _, entry := range s.entries {
		some, err := decodeEntry(entry.Value)
		require.NoError(t, err)
		for key, o := range some {
			addStream(streams, key, o)
		}
	}
	return streams
}

// quietRecorder records nothing.
type quietRecorder struct{}

func (quietRecorder) ArchiveWritten(int, int, time.Duration, error)               {}
func (quietRecorder) ArchiveRead(int, int, time.Duration, error)                  {}
func (quietRecorder) ArchiveEntryUnreadable(string, coordination.Position, error) {}

// archiveFleet is a fleet of nodes of which only the records of streams are played.
type archiveFleet struct {
	store *archiveStore
	nodes []*Archive
	// relays is the number of the first nodes that are relays.
	relays int
	// reports and reportBytes count the reports of the other nodes to relays.
	mutex       sync.Mutex
	reports     int
	reportBytes int
}

func newArchiveFleet(nodes int) *archiveFleet {
	f := &archiveFleet{store: newArchiveStore(), relays: min(nodes, max(10, int(math.Ceil(math.Sqrt(float64(nodes))))))}
	for i := range nodes {
		f.nodes = append(f.nodes, f.newNode(i, fmt.Sprint("incarnation-", i)))
	}
	return f
}

func (f *archiveFleet) newNode(i int, incarnation string) *Archive {
	return &Archive{
		Store: f.store, Prefix: "origins/", Incarnation: incarnation, Open: NewOpenStreams(), Ledger: NewLedger(),
		Required: func(time.Time) map[string]bool { return map[string]bool{"s": true} },
		IsRelay:  func() bool { return i < f.relays },
		Report: func(_ context.Context, body []byte) bool {
			time.Sleep(peerLatency)
			f.mutex.Lock()
			f.reports++
			f.reportBytes += len(body)
			f.mutex.Unlock()
			report, err := decodeReport(bytes.NewReader(body))
			return err == nil && f.nodes[i%f.relays].reports.put(report, time.Now())
		},
		Nodes:    func() int { return len(f.nodes) },
		Recorder: quietRecorder{},
	}
}

// run runs all nodes until the context ends.
func (f *archiveFleet) run(ctx context.Context) {
	for _, n := range f.nodes {
		go n.Run(ctx)
	}
}

// What the archive costs at the sizes of the platform's deployments, and what it keeps when all nodes are lost at
// once: all streams that began 200 ms earlier, and nine in ten of all. The rates are those of the store of each
// size, of which the archive takes an eighth of the writes and a fourth of the reads at most.
func TestArchiveOutlivesFleetWithinRates(t *testing.T) {
	const (
		duration   = 5 * time.Second
		meanStream = 1500 * time.Millisecond
		known      = 200 * time.Millisecond
	)
	for _, c := range []struct{ nodes, streamsPerSecond, writesPerSecond, readsPerSecond int }{
		{5, 65, 400, 2000}, {340, 3800, 3200, 16000}, {985, 520, 3200, 16000},
	} {
		t.Run(fmt.Sprint(c.nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newArchiveFleet(c.nodes)
				ctx, stop := context.WithCancel(t.Context())
				f.run(ctx)
				random := rand.New(rand.NewPCG(1, uint64(c.nodes)))
				type open struct{ began, ends time.Time }
				streams := map[Key]open{}
				gap := time.Second / time.Duration(c.streamsPerSecond)
				begin := time.Now()
				for i := 0; time.Since(begin) < duration; i++ {
					n, key := f.nodes[random.IntN(len(f.nodes))], Key(random.Uint64())
					length := time.Duration(random.ExpFloat64() * float64(meanStream))
					n.Open.Begin(key, Origin{Service: "s", Software: fmt.Sprint("v", i%2)}, false)
					streams[key] = open{time.Now(), time.Now().Add(length)}
					time.AfterFunc(length, func() { n.Open.End(key, true, time.Time{}, time.Now()) })
					time.Sleep(time.Duration(random.ExpFloat64() * float64(gap)))
				}
				lostAt := time.Now()
				archived := f.store.archived(t)
				old, oldKept, all, allKept := 0, 0, 0, 0
				for key, s := range streams {
					if !s.ends.After(lostAt) {
						continue
					}
					_, kept := archived[key]
					all++
					if kept {
						allKept++
					}
					if lostAt.Sub(s.began) >= known {
						old++
						if kept {
							oldKept++
						}
					}
				}
				seconds := duration.Seconds()
				writes, valueBytes := float64(f.store.writes)/seconds, float64(f.store.bytes)/seconds
				t.Logf("%d nodes, %d relays, %d streams/s, %d open: %.0f writes/s, %.0f bytes/s to the store, %.0f a relay; reports: %.1f/s and %.0f bytes/s a node; entries hold %d streams", c.nodes, f.relays, c.streamsPerSecond, all,
					writes, valueBytes, valueBytes/float64(f.relays), float64(f.reports)/seconds/float64(max(1, c.nodes-f.relays)), float64(f.reportBytes)/seconds/float64(max(1, c.nodes-f.relays)), len(archived))
				t.Logf("lost at once: %d of %d open streams are archived, %d of %d that began %s before", allKept, all, oldKept, old, known)
				require.Equal(t, old, oldKept)
				require.GreaterOrEqual(t, float64(allKept), 0.9*float64(all))
				require.LessOrEqual(t, writes, float64(c.writesPerSecond)/4)
				stop()
				time.Sleep(archiveFlushTimeout)
				archived = f.store.archived(t)

				// All nodes start again, and callers resume their streams at all of them at the same time.
				next := newArchiveFleet(c.nodes)
				for _, n := range next.nodes {
					n.Store = f.store
				}
				f.store.reads = 0
				var reading sync.WaitGroup
				resumedAt := time.Now()
				for i := range 4 * len(next.nodes) {
					reading.Go(func() {
						time.Sleep(time.Duration(i) * time.Second / time.Duration(4*len(next.nodes)))
						require.NoError(t, next.nodes[i%len(next.nodes)].Read(t.Context()))
					})
				}
				reading.Wait()
				took := max(time.Second, time.Since(resumedAt))
				t.Logf("%d reads in %s for %d callers", f.store.reads, took, 4*len(next.nodes))
				require.LessOrEqual(t, float64(f.store.reads)/took.Seconds(), float64(c.readsPerSecond)/4)
				for key := range archived {
					_, found := next.nodes[0].Ledger.Lookup(key, time.Now())
					require.True(t, found)
				}
			})
		})
	}
}

// Whatever the store does with calls, an archived stream never has an origin that it does not have, and once the
// store is sound all open streams are archived within a second.
func TestArchiveIsTrueWhateverTheStoreDoes(t *testing.T) {
	property.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newArchiveFleet(rapid.IntRange(1, 14).Draw(rt, "nodes"))
			faults := rapid.SliceOfN(rapid.IntRange(0, int(archiveFaults)-1), 1, 20).Draw(rt, "faults")
			call, sound := 0, atomic.Bool{}
			f.store.fault = func() archiveFault {
				if sound.Load() {
					return archiveSound
				}
				call++
				return archiveFault(faults[call%len(faults)])
			}
			ctx, stop := context.WithCancel(t.Context())
			f.run(ctx)
			origins, open := map[Key]Origin{}, map[Key]bool{}
			for i := range rapid.IntRange(1, 30).Draw(rt, "steps") {
				key, n := Key(i), rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "node")
				origins[key], open[key] = Origin{Service: "s", Software: fmt.Sprint("v", i%3)}, true
				f.nodes[n].Open.Begin(key, origins[key], false)
				if rapid.Bool().Draw(rt, "ends") {
					f.nodes[n].Open.End(key, true, time.Time{}, time.Now())
					open[key] = false
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "milliseconds")) * time.Millisecond)
				for archived, o := range f.store.archived(rt) {
					require.Equal(rt, origins[archived], o)
				}
			}
			sound.Store(true)
			// The retry delay, a report, and a write.
			time.Sleep(2 * time.Second)
			archived := f.store.archived(rt)
			for key, is := range open {
				if is {
					require.Contains(rt, archived, key)
				}
			}
			// Late calls undo nothing.
			time.Sleep(2 * lateBy)
			later := f.store.archived(rt)
			for key, is := range open {
				if is {
					require.Contains(rt, later, key)
				}
			}
			stop()
			synctest.Wait()
		})
	})
}

// Entries outlive their nodes by more than a caller waits, and end some time after them.
func TestArchiveEndsWithLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newArchiveFleet(12)
		ctx, stop := context.WithCancel(t.Context())
		f.run(ctx)
		for i, n := range f.nodes {
			n.Open.Begin(Key(i), v1, false)
		}
		// Streams that last long stay archived while nothing else begins.
		for range 10 {
			time.Sleep(archiveTTL / 2)
			require.Len(t, f.store.archived(t), len(f.nodes))
		}
		stop()
		synctest.Wait()
		time.Sleep(archiveTTL / 2)
		require.NoError(t, f.nodes[0].Read(t.Context()))
		require.Len(t, f.store.archived(t), len(f.nodes))
		time.Sleep(archiveTTL)
		_, err := f.store.List(t.Context(), "")
		require.NoError(t, err)
		require.Empty(t, f.store.archived(t))
	})
}

// Guards against reads that last as long as the store is silent, and against one read for each caller.
func TestArchiveReadsAreSharedAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newArchiveFleet(1)
		f.store.fault = func() archiveFault { return archiveRefused }
		n := f.nodes[0]
		require.Error(t, n.Read(t.Context()))
		failedAt := time.Now()
		for range 100 {
			require.Error(t, n.Read(t.Context()))
		}
		require.Zero(t, time.Since(failedAt), "a call soon after a failed one fails at once")
		f.store.fault = func() archiveFault { return archiveSound }
		time.Sleep(coordination.MaxRetryDelay)
		f.store.reads = 0
		var done sync.WaitGroup
		for range 100 {
			done.Go(func() { require.NoError(t, n.Read(t.Context())) })
		}
		done.Wait()
		require.Equal(t, 1, f.store.reads)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		require.Error(t, n.Read(ctx), "the next read may not start yet")
	})
}

// Streams that have ended or that callers can resume no longer are not archived for good.
func TestOpenStreamsEnd(t *testing.T) {
	s, now := NewOpenStreams(), time.Unix(1000, 0)
	mixed := map[string]bool{"s": true}
	for key := range Key(4) {
		s.Begin(key, v1, false)
	}
	s.Begin(9, Origin{Service: "other", Software: "v1"}, false)
	s.Begin(10, Origin{Service: "split", Software: "v1"}, true)
	s.End(0, true, now.Add(time.Hour), now)
	s.End(1, false, now.Add(10*time.Second), now)
	s.End(2, false, now.Add(time.Hour), now)
	s.End(77, true, now, now)
	keys := func(now time.Time) []Key {
		keys := []Key{}
		for key := range s.Streams(mixed, now) {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		return keys
	}
	require.Equal(t, []Key{0, 1, 2, 3, 10}, keys(now))
	require.Equal(t, []Key{1, 2, 3, 10}, keys(now.Add(2*endedRetention)))
	require.Equal(t, []Key{2, 3, 10}, keys(now.Add(11*time.Second)))
	require.Equal(t, []Key{3, 10}, keys(now.Add(2*retention)))
	require.Equal(t, []Key{10}, func() []Key { mixed = nil; return keys(now) }())
	require.Equal(t, 3, s.Len())
	s.Begin(3, Origin{Service: "s", Software: "v2"}, false)
	require.Equal(t, Origin{Service: "s"}, s.Streams(map[string]bool{"s": true}, now)[3], "two tries with the same ID have no origin")
}

// What a report or an entry holds is read as it was written; other bytes give an error, and no other streams.
func TestArchiveEncoding(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		streams := rapid.MapOf(rapid.Uint64(), rapid.SampledFrom([]Origin{{}, v1, {Service: "s", Software: "v2"}, {Service: "t", Software: "v1"}})).Draw(t, "streams")
		typed := map[Key]Origin{}
		for key, o := range streams {
			typed[Key(key)] = o
		}
		value, err := encodeEntry(typed)
		require.NoError(t, err)
		decoded, err := decodeEntry(value)
		require.NoError(t, err)
		require.Equal(t, typed, decoded)
		body, err := openReport{"n", 7, typed}.encode()
		require.NoError(t, err)
		report, err := decodeReport(bytes.NewReader(body))
		require.NoError(t, err)
		require.Equal(t, openReport{"n", 7, typed}, report)
		cut := rapid.IntRange(0, len(value)-1).Draw(t, "cut")
		_, err = decodeEntry(value[:cut])
		require.Error(t, err)
		_, _ = decodeEntry(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
	})
}

func FuzzArchiveEntry(f *testing.F) {
	value, err := encodeEntry(map[Key]Origin{1: v1})
	require.NoError(f, err)
	f.Add(value)
	f.Fuzz(func(_ *testing.T, value []byte) { _, _ = decodeEntry(value) })
}
