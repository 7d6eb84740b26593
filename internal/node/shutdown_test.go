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
func TestAStoppedNodeHasGivenItsAddressesBack(t *testing.T) {
	// With one processor, cleanup left to other goroutines is delayed.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 5 {
		given := settings.Defaults()
		given.Zone, given.FleetKey = "a", "00112233445566778899aabbccddeeff"
		given.CallerAddress, given.PeerAddress, given.OperatorAddress = address.Free(), address.Free(), address.Free()
		given.KeyValueAddress = "127.0.0.1:9"
		given.DrainDeadline, given.DrainNotice = time.Millisecond, 0
		node, err := New(given, zerolog.Nop(), Options{})
		require.NoError(t, err)
		ctx, stop := context.WithCancel(context.Background())
		stop()
		require.NoError(t, node.Run(ctx, http.NotFoundHandler(), http.NotFoundHandler()))
		for _, own := range []string{given.CallerAddress, given.PeerAddress, given.OperatorAddress} {
			listener, err := net.Listen("tcp", own)
			require.NoError(t, err)
			require.NoError(t, listener.Close())
		}
		packets, err := net.ListenPacket("udp", given.PeerAddress)
		require.NoError(t, err)
		require.NoError(t, packets.Close())
	}
}
