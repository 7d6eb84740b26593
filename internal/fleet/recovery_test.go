package fleet

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/quota"
)

// Guards against a first publication after a power loss that makes later nodes believe in a fleet
// of the few nodes that have registered so far.
func TestPublishedViewKeepsSizeAfterPowerLoss(t *testing.T) {
	usages := []quota.Usage{{Key: 7, Requested: 8, Admitted: 6}}
	begin := time.Now()
	var entries []coordination.Entry
	publish := func(name string, recovered []byte, entries ...coordination.Entry) []byte {
		var published []byte
		registry := newTestRegistry(name, "a", 0.2)
		registry.PublishView = func(_ context.Context, view []byte) error {
			published = view
			return nil
		}
		registry.RecentUsages = func(time.Time) []quota.Usage { return usages }
		if recovered != nil {
			require.NoError(t, registry.ObservePublishedView(recovered, begin))
		}
		registry.ObserveNodes(entries, begin)
		registry.ObserveNodes(entries, begin.Add(bootstrapWait))
		registry.publishIfChanged(t.Context())
		return published
	}
	for _, name := range []string{"n0", "n1", "n2", "n3", "n4", "n5"} {
		node := newTestRegistry(name, "a", 0.2)
		entries = append(entries, coordination.Entry{Key: node.registrationKey(), Value: []byte(node.ownInfo().String())})
	}
	first := newTestRegistry("n0", "a", 0.2)
	first.ObserveNodes(entries, begin)
	view, _ := first.ViewIfChanged(0)
	name, _ := first.parseKey(view.First[0].Key)
	full := publish(name, nil, entries...)
	require.NotNil(t, full)
	after := publish(name, full, entries[slices.IndexFunc(entries, func(e coordination.Entry) bool {
		own, _ := first.parseKey(e.Key)
		return own == name
	})])
	require.NotNil(t, after)
	var recovery Recovery
	late := newTestRegistry("n5", "a", 0.2)
	late.OnRecover = func(r Recovery) { recovery = r }
	require.NoError(t, late.ObservePublishedView(after, begin))
	require.Equal(t, Recovery{Nodes: 6, Usages: usages}, recovery)
}
