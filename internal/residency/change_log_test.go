package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

func piece(key Key) []Piece { return []Piece{{Key: key, Tokens: 1}} }

// syncPeer transfers one node's update to another, as the protocol does.
func syncPeer(r *PeerReceiver, peer string, from *Ledger, ownOnly bool, now time.Time) error {
	place := r.Place(peer)
	return r.Receive(peer, place, from.Changes(place, ownOnly), now)
}

// A node that learns of holders from a peer must know what the peer knows, whatever updates it
// has missed.
func TestPeerUpdatesConverge(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		near, far := NewLedger(), NewLedger()
		receiver := NewPeerReceiver(far)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			holder := fmt.Sprint("h", rapid.IntRange(0, 2).Draw(t, "holder"))
			switch rapid.IntRange(0, 12).Draw(t, "what") {
			case 0, 1:
				near.Replace(holder, []Key{2})
			case 2:
				near.Drop(holder, rapid.Bool().Draw(t, "down"))
			case 3:
				near.log.entries = append(near.log.entries, make([]logEntry, 2*maxLogEntries)...)
				near.log.add(logEntry{holder: holder, kind: unknown})
				near.drop(holder, "", false)
			case 4:
				near.log = newChangeLog()
			default:
				changes := []Change{}
				for range rapid.IntRange(0, 3).Draw(t, "changes") {
					changes = append(changes, Change{Key: Key(rapid.Uint32Range(1, 3).Draw(t, "key")), Present: rapid.Bool().Draw(t, "present")})
				}
				near.Apply(holder, changes)
			}
			if !rapid.Bool().Draw(t, "asks") {
				continue
			}
			require.NoError(t, syncPeer(receiver, "near", near, rapid.Bool().Draw(t, "direct"), now))
			for _, name := range []string{"h0", "h1", "h2"} {
				require.Equal(t, near.Down(name), far.Down(name))
				for key := Key(1); key <= 3; key++ {
					require.Equal(t, near.CachedTokens(name, "", piece(key), now), far.CachedTokens(name, "", piece(key), now))
				}
			}
		}
	})
}

func TestOwnOnlyUpdateOmitsPeerReports(t *testing.T) {
	owner, reader, other, follower := NewLedger(), NewLedger(), NewLedger(), NewLedger()
	owner.Replace("h", []Key{1})
	require.NoError(t, syncPeer(NewPeerReceiver(reader), "owner", owner, true, start))
	require.NoError(t, syncPeer(NewPeerReceiver(other), "reader", reader, true, start))
	require.NoError(t, syncPeer(NewPeerReceiver(follower), "reader", reader, false, start))
	require.Equal(t, 1, reader.CachedTokens("h", "", piece(1), start))
	require.Zero(t, other.CachedTokens("h", "", piece(1), start))
	require.Equal(t, 1, follower.CachedTokens("h", "", piece(1), start))
}

// The reports of a lost peer must not be used for longer than peerTimeout.
func TestStalePeerReportsAreRemoved(t *testing.T) {
	owner, ledger := NewLedger(), NewLedger()
	owner.Replace("h", []Key{1})
	receiver := NewPeerReceiver(ledger)
	require.NoError(t, syncPeer(receiver, "owner", owner, true, start))
	receiver.RemoveStale(start.Add(peerTimeout))
	require.Equal(t, 1, ledger.CachedTokens("h", "", piece(1), start))
	// An empty update shows that the peer is alive, too.
	require.NoError(t, syncPeer(receiver, "owner", owner, true, start.Add(time.Second)))
	receiver.RemoveStale(start.Add(peerTimeout + time.Second))
	require.Equal(t, 1, ledger.CachedTokens("h", "", piece(1), start))
	receiver.RemoveStale(start.Add(peerTimeout + time.Second + time.Millisecond))
	require.Zero(t, ledger.CachedTokens("h", "", piece(1), start))
	require.NoError(t, syncPeer(receiver, "owner", owner, true, start.Add(time.Minute)))
	require.Equal(t, 1, ledger.CachedTokens("h", "", piece(1), start), "the full state is sent again")
}

func TestHolderTakeoverByAnotherPeer(t *testing.T) {
	first, second, ledger := NewLedger(), NewLedger(), NewLedger()
	receiver := NewPeerReceiver(ledger)
	first.Replace("h", []Key{1})
	require.NoError(t, syncPeer(receiver, "first", first, true, start))
	second.Replace("h", []Key{2})
	require.NoError(t, syncPeer(receiver, "second", second, true, start))
	first.Apply("h", []Change{{Key: 3, Present: true}})
	first.Drop("h", false)
	require.NoError(t, syncPeer(receiver, "first", first, true, start))
	require.Equal(t, 1, ledger.CachedTokens("h", "", piece(2), start))
	require.Zero(t, ledger.CachedTokens("h", "", piece(3), start), "the former peer's reports no longer count")
	ledger.Replace("h", []Key{4})
	second.Apply("h", []Change{{Key: 5, Present: true}})
	require.NoError(t, syncPeer(receiver, "second", second, true, start))
	require.Zero(t, ledger.CachedTokens("h", "", piece(5), start), "this node watches the holder itself now")
	require.Equal(t, 1, ledger.CachedTokens("h", "", piece(4), start))
}

func TestMalformedUpdateIsIgnored(t *testing.T) {
	owner := NewLedger()
	owner.Replace("h", []Key{1, 2, 3})
	owner.Drop("k", true)
	full := owner.Changes(Place{}, true)
	property.Check(t, func(t *rapid.T) {
		data := append([]byte(nil), full...)
		if rapid.Bool().Draw(t, "cut") {
			data = data[:rapid.IntRange(0, len(data)-1).Draw(t, "length")]
		} else {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "place")] ^= byte(rapid.IntRange(1, 255).Draw(t, "noise"))
		}
		ledger := NewLedger()
		receiver := NewPeerReceiver(ledger)
		if err := receiver.Receive("owner", Place{}, data, start); err != nil {
			require.Empty(t, ledger.holders)
			require.Zero(t, receiver.Place("owner"), "the full state is requested next")
		}
	})
}

func TestDeltaUpdateIsCompact(t *testing.T) {
	owner := NewLedger()
	owner.Replace("10.0.0.1:8000", nil)
	first, err := decodeUpdate(owner.Changes(Place{}, true))
	require.NoError(t, err)
	place := first.place
	require.Nil(t, owner.Changes(place, true))
	changes := []Change{}
	for key := range Key(100) {
		changes = append(changes, Change{Key: key, Present: key%2 == 0})
	}
	owner.Apply("10.0.0.1:8000", changes)
	require.Less(t, len(owner.Changes(place, true)), 100*keyBytes+40)
}

func TestSentPieceIsAssumedPresentUntilHolderReports(t *testing.T) {
	ledger := NewLedger()
	ledger.Replace("h", nil)
	ledger.RecordSent("h", "life", piece(1), 1, 100, start)
	require.Equal(t, 1, ledger.CachedTokens("h", "life", piece(1), start))
	require.Zero(t, ledger.CachedTokens("h", "next life", piece(1), start), "a restart clears the cache")
	require.Zero(t, ledger.CachedTokens("h", "life", piece(1), start.Add(minAssumedAge)))
}

func FuzzNews(f *testing.F) {
	owner := NewLedger()
	owner.Replace("h", []Key{1, 2, 3})
	f.Add(owner.Changes(Place{}, true))
	f.Fuzz(func(t *testing.T, data []byte) {
		if decoded, err := decodeUpdate(data); err != nil && decoded.sections != nil {
			t.Fatal("sections of a malformed update were returned")
		}
	})
}

// BenchmarkNews measures one update from a node that watches 9 servers, with 100 changed pieces.
func BenchmarkNews(b *testing.B) {
	owner, ledger := NewLedger(), NewLedger()
	receiver := NewPeerReceiver(ledger)
	for h := range 9 {
		owner.Replace(fmt.Sprint("10.0.0.", h, ":8000"), make([]Key, 1000))
	}
	_ = syncPeer(receiver, "owner", owner, true, start)
	key := Key(0)
	b.ReportAllocs()
	for b.Loop() {
		for range 100 {
			key++
			owner.Apply(fmt.Sprint("10.0.0.", key%9, ":8000"), []Change{{Key: key % 5000, Present: key%2 == 0}})
		}
		if err := syncPeer(receiver, "owner", owner, true, start); err != nil {
			b.Fatal(err)
		}
	}
}

// Most nodes are never queried for updates, so they keep no log. The first request after an idle
// period must return the full state.
func TestChangeLogIsIdleUntilRequested(t *testing.T) {
	l, mirror := NewLedger(), NewLedger()
	r := NewPeerReceiver(mirror)
	sync := func() {
		since := r.Place("n")
		require.NoError(t, r.Receive("n", since, l.Changes(since, false), time.Now()))
	}
	l.Replace("holder", []Key{1})
	require.Empty(t, l.log.entries)
	sync()
	l.Apply("holder", []Change{{Key: 2, Present: true}})
	require.Len(t, l.log.entries, 1)
	sync()
	for number := range 3 * maxLogEntries {
		l.Apply("holder", []Change{{Key: Key(3 + number%5), Present: number%2 == 0}})
	}
	require.Empty(t, l.log.entries, "no node requests updates any more")
	sync()
	require.Equal(t, l.holders["holder"].cached, mirror.holders["holder"].cached)
}
