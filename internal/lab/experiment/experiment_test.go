package experiment

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func reportOf(t *testing.T, profile string, seed uint64, names ...string) map[string]PolicyReport {
	t.Helper()
	found, err := ProfileOf(profile)
	require.NoError(t, err)
	policies := map[string]PolicyReport{}
	for _, policy := range Run(found, names, seed).Policies {
		policies[policy.Name] = policy
	}
	return policies
}

func TestSameSeedSameFigures(t *testing.T) {
	profile, err := ProfileOf("dakar")
	require.NoError(t, err)
	first, err := json.Marshal(Run(profile, PolicyNames, 3))
	require.NoError(t, err)
	second, err := json.Marshal(Run(profile, PolicyNames, 3))
	require.NoError(t, err)
	require.Equal(t, string(first), string(second))
}

// TestKuusistoRecomputationStaysNearOracle and TestDakarTailLatencyStaysNearOracle check the
// goals of docs/decisions/routing.md that are met, in virtual time. They detect changes of
// the scorers that miss these goals again.
func TestKuusistoRecomputesLittle(t *testing.T) {
	policies := reportOf(t, "kuusisto", 1, "cloverrail", "rendezvous", "oracle")
	ours := float64(policies["cloverrail"].RecomputedTokens)
	require.LessOrEqual(t, ours, 1.15*float64(policies["oracle"].RecomputedTokens))
	require.LessOrEqual(t, ours, 0.5*float64(policies["rendezvous"].RecomputedTokens))
}

func TestDakarHasAShortTail(t *testing.T) {
	policies := reportOf(t, "dakar", 1, "cloverrail", "rendezvous", "oracle")
	ours := policies["cloverrail"].FirstTokenP99
	require.LessOrEqual(t, ours, 1.2*policies["oracle"].FirstTokenP99)
	require.LessOrEqual(t, ours, 0.7*policies["rendezvous"].FirstTokenP99)
}

func TestEveryPolicyServesEveryRequest(t *testing.T) {
	policies := reportOf(t, "dakar", 2, PolicyNames...)
	for name, policy := range policies {
		require.Equal(t, policies["cloverrail"].Requests, policy.Requests, name)
	}
}
