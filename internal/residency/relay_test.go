package residency

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// A node that hears of a holder from another one knows what that one knows,
// whatever it missed.
func TestARelayTellsWhatTheHolderTold(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		near, far := NewLedger(), NewLedger()
		near.Replace("store", []Key{1})
		var life, next int64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			changes := []Change{}
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				changes = append(changes, Change{Key: Key(rapid.Uint64Range(1, 3).Draw(t, "key")), Present: rapid.Bool().Draw(t, "present")})
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				near.Replace("store", []Key{2})
			}
			near.Apply("store", changes)
			if rapid.Bool().Draw(t, "asks") {
				b, err := near.Changes(ctx, "store", next, 0)
				require.NoError(t, err)
				if b.Gap || b.Life != life {
					b, err = near.List(ctx, "store")
					require.NoError(t, err)
					keys := []Key{}
					for _, change := range b.Changes {
						keys = append(keys, change.Key)
					}
					far.Replace("store", keys)
				} else {
					far.Apply("store", b.Changes)
				}
				life, next = b.Life, b.Next
				for key := Key(1); key <= 3; key++ {
					piece := []Piece{{Key: key, Tokens: 1}}
					require.Equal(t, near.Held("store", piece, begin), far.Held("store", piece, begin))
				}
			}
		}
	})
}

func TestWhoMissedTooMuchReadsTheWholeList(t *testing.T) {
	ledger := NewLedger()
	ledger.Replace("store", nil)
	ledger.Apply("store", make([]Change, mostRecent+1))
	b, err := ledger.Changes(context.Background(), "store", 0, time.Hour)
	require.NoError(t, err)
	require.True(t, b.Gap)
}

func TestAPeerTellsAHolderThatIsDownFromOneThatItDoesNotFollow(t *testing.T) {
	ledger := NewLedger()
	server := httptest.NewServer(http.HandlerFunc(Handler(ledger)))
	address := strings.TrimPrefix(server.URL, "http://")
	peer := NewPeer(server.Client(), func() string { return address })
	ctx := context.Background()
	_, err := peer.List(ctx, "store")
	require.ErrorIs(t, err, ErrUnheard)
	ledger.Lose("store", true)
	_, err = peer.List(ctx, "store")
	require.ErrorIs(t, err, errDown)
	ledger.Replace("store", []Key{5})
	b, err := peer.List(ctx, "store")
	require.NoError(t, err)
	require.Equal(t, []Change{{Key: 5, Present: true}}, b.Changes)
	ledger.Apply("store", []Change{{Key: 6, Present: true}})
	b, err = peer.Changes(ctx, "store", b.Next, time.Second)
	require.NoError(t, err)
	require.Equal(t, []Change{{Key: 6, Present: true}}, b.Changes)
	server.Close()
	_, err = peer.List(ctx, "store")
	require.ErrorIs(t, err, ErrUnheard, "that says nothing about the holder")
}
