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
func tell(h *Hearer, teller string, from *Ledger, direct bool, now time.Time) error {
	place := h.Place(teller)
	return h.Take(teller, place, from.News(place, direct), now)
}

// A node that learns of holders from a peer must know what the peer knows, whatever updates it
// has missed.
func TestNewsTellWhatTheHoldersTold(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		near, far := NewLedger(), NewLedger()
		hearer := NewHearer(far)
		now := begin
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			holder := fmt.Sprint("h", rapid.IntRange(0, 2).Draw(t, "holder"))
			switch rapid.IntRange(0, 12).Draw(t, "what") {
			case 0, 1:
				near.Replace(holder, []Key{2})
			case 2:
				near.Lose(holder, rapid.Bool().Draw(t, "down"))
			case 3:
				near.news.entries = append(near.news.entries, make([]entry, 2*mostNews)...)
				near.news.add(entry{holder: holder, kind: lost})
				near.lose(holder, "", false)
			case 4:
				near.news = newNews()
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
			require.NoError(t, tell(hearer, "near", near, rapid.Bool().Draw(t, "direct"), now))
			for _, name := range []string{"h0", "h1", "h2"} {
				require.Equal(t, near.Down(name), far.Down(name))
				for key := Key(1); key <= 3; key++ {
					require.Equal(t, near.Held(name, "", piece(key), now), far.Held(name, "", piece(key), now))
				}
			}
		}
	})
}

func TestWhatANodeHeardFromOthersIsToldToItsFollowersOnly(t *testing.T) {
	owner, reader, other, follower := NewLedger(), NewLedger(), NewLedger(), NewLedger()
	owner.Replace("h", []Key{1})
	require.NoError(t, tell(NewHearer(reader), "owner", owner, true, begin))
	require.NoError(t, tell(NewHearer(other), "reader", reader, true, begin))
	require.NoError(t, tell(NewHearer(follower), "reader", reader, false, begin))
	require.Equal(t, 1, reader.Held("h", "", piece(1), begin))
	require.Zero(t, other.Held("h", "", piece(1), begin))
	require.Equal(t, 1, follower.Held("h", "", piece(1), begin))
}

// The reports of a lost peer must not be used for longer than peerTimeout.
func TestTheWordOfANodeThatIsNotHeardIsForgotten(t *testing.T) {
	owner, ledger := NewLedger(), NewLedger()
	owner.Replace("h", []Key{1})
	hearer := NewHearer(ledger)
	require.NoError(t, tell(hearer, "owner", owner, true, begin))
	hearer.Expire(begin.Add(newsLife))
	require.Equal(t, 1, ledger.Held("h", "", piece(1), begin))
	// An empty update shows that the peer is alive, too.
	require.NoError(t, tell(hearer, "owner", owner, true, begin.Add(time.Second)))
	hearer.Expire(begin.Add(newsLife + time.Second))
	require.Equal(t, 1, ledger.Held("h", "", piece(1), begin))
	hearer.Expire(begin.Add(newsLife + time.Second + time.Millisecond))
	require.Zero(t, ledger.Held("h", "", piece(1), begin))
	require.NoError(t, tell(hearer, "owner", owner, true, begin.Add(time.Minute)))
	require.Equal(t, 1, ledger.Held("h", "", piece(1), begin), "the full state is sent again")
}

func TestAnotherNodeTakesAHolderOver(t *testing.T) {
	first, second, ledger := NewLedger(), NewLedger(), NewLedger()
	hearer := NewHearer(ledger)
	first.Replace("h", []Key{1})
	require.NoError(t, tell(hearer, "first", first, true, begin))
	second.Replace("h", []Key{2})
	require.NoError(t, tell(hearer, "second", second, true, begin))
	first.Apply("h", []Change{{Key: 3, Present: true}})
	first.Lose("h", false)
	require.NoError(t, tell(hearer, "first", first, true, begin))
	require.Equal(t, 1, ledger.Held("h", "", piece(2), begin))
	require.Zero(t, ledger.Held("h", "", piece(3), begin), "the former peer's reports no longer count")
	ledger.Replace("h", []Key{4})
	second.Apply("h", []Change{{Key: 5, Present: true}})
	require.NoError(t, tell(hearer, "second", second, true, begin))
	require.Zero(t, ledger.Held("h", "", piece(5), begin), "this node watches the holder itself now")
	require.Equal(t, 1, ledger.Held("h", "", piece(4), begin))
}

func TestNewsThatCannotBeReadChangeNothing(t *testing.T) {
	owner := NewLedger()
	owner.Replace("h", []Key{1, 2, 3})
	owner.Lose("k", true)
	whole := owner.News(Place{}, true)
	property.Check(t, func(t *rapid.T) {
		data := append([]byte(nil), whole...)
		if rapid.Bool().Draw(t, "cut") {
			data = data[:rapid.IntRange(0, len(data)-1).Draw(t, "length")]
		} else {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "place")] ^= byte(rapid.IntRange(1, 255).Draw(t, "noise"))
		}
		ledger := NewLedger()
		hearer := NewHearer(ledger)
		if err := hearer.Take("owner", Place{}, data, begin); err != nil {
			require.Empty(t, ledger.holdings)
			require.Zero(t, hearer.Place("owner"), "the full state is requested next")
		}
	})
}

func TestNewsAreShort(t *testing.T) {
	owner := NewLedger()
	owner.Replace("10.0.0.1:8000", nil)
	first, err := decode(owner.News(Place{}, true))
	require.NoError(t, err)
	place := first.place
	require.Nil(t, owner.News(place, true))
	changes := []Change{}
	for key := range Key(100) {
		changes = append(changes, Change{Key: key, Present: key%2 == 0})
	}
	owner.Apply("10.0.0.1:8000", changes)
	require.Less(t, len(owner.News(place, true)), 100*keyBytes+40)
}

func TestWhatThisNodeSentCountsUntilTheHoldersWordOfItHasCome(t *testing.T) {
	ledger := NewLedger()
	ledger.Replace("h", nil)
	ledger.Note("h", "life", piece(1), 1, 100, begin)
	require.Equal(t, 1, ledger.Held("h", "life", piece(1), begin))
	require.Zero(t, ledger.Held("h", "next life", piece(1), begin), "a restart clears the cache")
	require.Zero(t, ledger.Held("h", "life", piece(1), begin.Add(untoldLife)))
}

func FuzzNews(f *testing.F) {
	owner := NewLedger()
	owner.Replace("h", []Key{1, 2, 3})
	f.Add(owner.News(Place{}, true))
	f.Fuzz(func(t *testing.T, data []byte) {
		if told, err := decode(data); err != nil && told.sections != nil {
			t.Fatal("sections of a malformed update were returned")
		}
	})
}

// BenchmarkNews measures one update from a node that watches 9 servers, with 100 changed pieces.
func BenchmarkNews(b *testing.B) {
	owner, ledger := NewLedger(), NewLedger()
	hearer := NewHearer(ledger)
	for h := range 9 {
		owner.Replace(fmt.Sprint("10.0.0.", h, ":8000"), make([]Key, 1000))
	}
	_ = tell(hearer, "owner", owner, true, begin)
	key := Key(0)
	b.ReportAllocs()
	for b.Loop() {
		for range 100 {
			key++
			owner.Apply(fmt.Sprint("10.0.0.", key%9, ":8000"), []Change{{Key: key % 5000, Present: key%2 == 0}})
		}
		if err := tell(hearer, "owner", owner, true, begin); err != nil {
			b.Fatal(err)
		}
	}
}

// Most nodes are never queried for updates, so they keep no log. The first request after an idle
// period must return the full state.
func TestNewsRestUntilSomebodyAsks(t *testing.T) {
	l, heard := NewLedger(), NewLedger()
	h := NewHearer(heard)
	ask := func() {
		asked := h.Place("n")
		require.NoError(t, h.Take("n", asked, l.News(asked, false), time.Now()))
	}
	l.Replace("holder", []Key{1})
	require.Empty(t, l.news.entries)
	ask()
	l.Apply("holder", []Change{{Key: 2, Present: true}})
	require.Len(t, l.news.entries, 1)
	ask()
	for number := range 3 * mostNews {
		l.Apply("holder", []Change{{Key: Key(3 + number%5), Present: number%2 == 0}})
	}
	require.Empty(t, l.news.entries, "no node requests updates any more")
	ask()
	require.Equal(t, l.holdings["holder"].has, heard.holdings["holder"].has)
}
