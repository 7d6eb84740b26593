// Package address allocates loopback addresses for test processes.
package address

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports lie below the ephemeral range, and addresses differ from 127.0.0.1, the source of
// outgoing connections. No outgoing connection can therefore take an address that is
// briefly unused, as during a restart.
const (
	lowestPort = 12_000
	ports      = 10_000
)

// Free returns a loopback address whose port is free for both TCP and UDP.
func Free() string {
	for {
		address := fmt.Sprintf("127.%d.%d.%d:%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250), lowestPort+rand.IntN(ports))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packet, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err == nil {
			_ = packet.Close()
			return address
		}
	}
}
