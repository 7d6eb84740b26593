package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/wire"
)

// TestTokenIssuerWithoutConfigurationReportsUnknownTenant requests tokens from a node
// that has no configuration yet. Zero tokens without Unknown would make the requester
// reject a request within the tenant's limit.
func TestTokenIssuerWithoutConfigurationReportsUnknownTenant(t *testing.T) {
	issuer := &Node{limits: newLimits(), activeConfig: &activeConfig{}}
	require.Equal(t, wire.TokenResponse{Unknown: true}, issuer.serveTokenRequest(wire.TokenRequest{Tenant: "one", Want: 1}))
}
