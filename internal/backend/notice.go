package backend

import "time"

// Notice is what a server says of itself beside an answer. The zero value says nothing.
type Notice struct {
	// Leaving says that the server is about to end and wants no new requests.
	Leaving bool
	// Rest is for how long it wants no requests of this node.
	Rest time.Duration
}
