// Package address finds loopback addresses for processes of the laboratory.
package address

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// The ports lie below the range from which outgoing connections take theirs,
// and the numbers away from 127.0.0.1, from which they are made: an address
// that is given back for a moment, as by a restart, is not taken by them.
const (
	lowestPort = 12_000
	ports      = 10_000
)

// Free returns an address that is free for TCP and UDP.
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
