package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/wire"
)

// A node that starts is asked for tokens of a tenant whose ledger is there before it has its
// configuration. It does not know the limit: that is no word that the rate is used up, by which
// the asker would refuse a request within it.
func TestALedgerThatDoesNotKnowTheLimitDoesNotSayThatItIsUsedUp(t *testing.T) {
	home := &Node{limits: newLimits(), catalog: &catalog{}}
	require.Equal(t, wire.TakeAnswer{Unknown: true}, home.serveTake(wire.TakeRequest{Tenant: "one", Want: 1}))
}
