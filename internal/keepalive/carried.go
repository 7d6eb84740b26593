package keepalive

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarried bounds the requests that a connection remembers.
const maxCarried = 1024

// carried is the requests that a connection has carried. The zero value is empty.
type carried struct {
	// hashes holds the hashes of the requests' IDs.
	hashes []uint64
}

// add adds a request. One without an ID is not remembered.
func (c *carried) add(id string) {
	if id != "" && !c.full() && !c.contains(id) {
		c.hashes = append(c.hashes, xxhash.Sum64String(id))
	}
}

// contains reports whether the connection has carried a request with an ID.
func (c *carried) contains(id string) bool {
	return id != "" && slices.Contains(c.hashes, xxhash.Sum64String(id))
}

// full reports whether no further request can be remembered.
func (c *carried) full() bool { return len(c.hashes) >= maxCarried }
