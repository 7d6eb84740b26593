package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/wire"
)

// TestTokenIssuerWithoutConfigurationReportsUnknownTenant requests tokens from a node
// that has no configuration yet. Zero tokens without Unknown would make the requester
// reject a request within the tenant's limit.
func TestALedgerThatDoesNotKnowTheLimitDoesNotSayThatItIsUsedUp(t *testing.T) {
	home := &Node{limits: newLimits(), catalog: &catalog{}}
	require.Equal(t, wire.TakeAnswer{Unknown: true}, home.serveTake(wire.TakeRequest{Tenant: "one", Want: 1}))
}
