package node

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/lab/address"
	"github.com/cloverrail/cloverrail/internal/settings"
)

// TestRunReleasesAddressesOnReturn binds each address as soon as Run has returned, as
// a restarted node does.
func TestRunReleasesAddressesOnReturn(t *testing.T) {
	// With one processor, cleanup left to other goroutines is delayed.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 5 {
		nodeSettings := settings.Defaults()
		nodeSettings.Zone, nodeSettings.FleetKey = "a", "00112233445566778899aabbccddeeff"
		nodeSettings.CallerAddress, nodeSettings.PeerAddress, nodeSettings.OperatorAddress = address.Free(), address.Free(), address.Free()
		nodeSettings.KeyValueAddress = "127.0.0.1:9"
		nodeSettings.DrainDeadline, nodeSettings.DrainNotice = time.Millisecond, 0
		node, err := New(nodeSettings, zerolog.Nop(), Options{})
		require.NoError(t, err)
		ctx, stop := context.WithCancel(context.Background())
		stop()
		require.NoError(t, node.Run(ctx, http.NotFoundHandler(), http.NotFoundHandler()))
		for _, nodeAddress := range []string{nodeSettings.CallerAddress, nodeSettings.PeerAddress, nodeSettings.OperatorAddress} {
			listener, err := net.Listen("tcp", nodeAddress)
			require.NoError(t, err)
			require.NoError(t, listener.Close())
		}
		packets, err := net.ListenPacket("udp", nodeSettings.PeerAddress)
		require.NoError(t, err)
		require.NoError(t, packets.Close())
	}
}
