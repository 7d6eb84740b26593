package fleet

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/property"
)

// Guards against a spoilt view or spoilt registrations that end the process that reads them, that make the fleet absurdly
// large, so that each node takes next to nothing of what all may use, or that stay believed once sound ones are listed.
func TestSpoiltRegistrationsEndNoProcess(t *testing.T) {
	// A sound view of six nodes with one byte changed has no more nodes than that byte can say.
	const nodes, maxNodes = 6, 1 << 8
	property.CheckMany(t, 2000, func(t *rapid.T) {
		sound, spoilt := []coordination.Entry{}, []coordination.Entry{}
		for i := range nodes {
			entry := coordination.Entry{Key: fmt.Sprintf("nodes/%d/n%d/2", i, i), Value: []byte(nodeInfo{fmt.Sprint("10.0.0.", i, ":80"), "z", 2}.String()), Revision: int64(i + 1)}
			sound = append(sound, entry)
			entry.Value = property.Spoil(t, entry.Value)
			spoilt = append(spoilt, entry)
		}
		var encoded bytes.Buffer
		require.NoError(t, gob.NewEncoder(&encoded).Encode(View{Nodes: nodes, Roomy: nodes, First: sound}.Wire()))
		r := &Registry{Prefix: "nodes/", Name: "n3", Incarnation: "2", Address: "10.0.0.3:80", Zone: "z", Cores: 2, OnResize: func(int) {}}
		r.PublishView = func(context.Context, []byte) error { return nil }
		now := time.Now()
		_ = r.ObservePublishedView(property.Spoil(t, encoded.Bytes()), now)
		check := func() {
			r.RelayAddresses()
			r.OtherNodes()
			r.OutsideView()
			require.LessOrEqual(t, r.Nodes(), maxNodes)
			require.LessOrEqual(t, r.Relays(), r.Nodes())
		}
		check()
		switch rapid.SampledFrom([]string{"all", "first page", "stale"}).Draw(t, "read") {
		case "first page":
			r.ObserveFirstPage(spoilt, now)
		case "stale":
			r.ObserveStaleNodes(spoilt, now)
		}
		check()
		r.ObserveNodes(spoilt, now)
		check()
		for age := time.Duration(0); age < time.Minute; age += time.Second {
			r.ObserveNodes(sound, now.Add(age))
		}
		check()
		require.True(t, r.Bootstrapped())
		require.Equal(t, nodes, r.Nodes())
	})
}

// Guards against nodes that each take the others for relays, so that nobody writes what a relay must, since the
// registrations of all name an absurd processor time: a node knows its own.
func TestAbsurdProcessorTimeMakesNoNodeLarge(t *testing.T) {
	for _, cores := range []string{"9223372036854775807", "Inf", "NaN", "-2", "1e300", "99999999"} {
		entries := []coordination.Entry{}
		for i := range 3 {
			entries = append(entries, coordination.Entry{Key: fmt.Sprintf("nodes/%d/n%d/1", i, i), Value: []byte(fmt.Sprintf("10.0.0.%d:80 z %s", i, cores))})
		}
		for i := range 3 {
			r := &Registry{Prefix: "nodes/", Name: fmt.Sprint("n", i), Incarnation: "1", Address: "a", Zone: "z", Cores: 2, OnResize: func(int) {}}
			r.ObserveNodes(entries, time.Now())
			require.True(t, r.IsRelay(), cores)
		}
	}
}
