package peer

import (
	"bytes"
	"encoding/gob"
	"net"
	"net/netip"

	"github.com/juju/errors"
)

// maxDatagramBytes bounds the size of an encoded message before encryption.
const maxDatagramBytes = 60_000

// DatagramConn sends and receives encrypted messages of one type over UDP.
type DatagramConn[Message any] struct {
	socket      *net.UDPConn
	credentials *Credentials
	blocked     func(address string) bool
}

// ListenDatagrams opens a UDP socket. Tests use blocked, which may be nil, to
// simulate network partitions.
func ListenDatagrams[Message any](address string, credentials *Credentials, blocked func(string) bool) (*DatagramConn[Message], error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Annotate(err, "write the peer address as IP address and port")
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addrPort))
	if err != nil {
		return nil, errors.Annotate(err, "cannot listen on the peer address; choose a free port")
	}
	return &DatagramConn[Message]{socket: socket, credentials: credentials, blocked: blocked}, nil
}

// Send encrypts and sends one message. Lost datagrams are not reported.
func (datagrams *DatagramConn[Message]) Send(address string, message Message) error {
	if datagrams.blocked != nil && datagrams.blocked(address) {
		return nil
	}
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Trace(err)
	}
	sealed, err := Seal(datagrams.credentials, message)
	if err != nil {
		return err
	}
	_, err = datagrams.socket.WriteToUDPAddrPort(sealed, addrPort)
	return errors.Trace(err)
}

// Seal encodes and encrypts one message.
func Seal[Message any](credentials *Credentials, message Message) ([]byte, error) {
	var plain bytes.Buffer
	if err := gob.NewEncoder(&plain).Encode(message); err != nil {
		return nil, errors.Trace(err)
	}
	if plain.Len() > maxDatagramBytes {
		return nil, errors.Errorf("message of %d bytes does not fit into a datagram", plain.Len())
	}
	return credentials.aead.Seal(nil, nil, plain.Bytes(), nil), nil
}

// Receive calls handle for every authentic message until the socket is closed. It
// drops datagrams that were not encrypted with the fleet's key.
func (datagrams *DatagramConn[Message]) Receive(handle func(Message)) {
	buffer := make([]byte, 1<<16)
	for {
		count, _, err := datagrams.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		plain, err := datagrams.credentials.aead.Open(nil, nil, buffer[:count], nil)
		if err != nil {
			continue
		}
		var message Message
		if gob.NewDecoder(bytes.NewReader(plain)).Decode(&message) == nil {
			handle(message)
		}
	}
}

// Close closes the socket.
func (datagrams *DatagramConn[Message]) Close() { _ = datagrams.socket.Close() }
