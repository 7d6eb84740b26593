package keepalive

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarried bounds the requests that a connection remembers, and with them those that it carries.
const maxCarried = 1024

// carried is the requests that a connection has carried. The zero value is empty.
type carried struct {
	// hashes holds the hashes of the requests' IDs.
	hashes []uint64
	// unnamed is set once a request without an ID was among them.
	unnamed bool
}

// add adds a request, and reports whether there is room for it.
func (c *carried) add(id string) bool {
	if id == "" {
		c.unnamed = true
		return true
	}
	if len(c.hashes) >= maxCarried {
		return false
	}
	c.hashes = append(c.hashes, xxhash.Sum64String(id))
	return true
}

// contains reports whether the connection has carried a request with an ID.
func (c *carried) contains(id string) bool {
	return id != "" && slices.Contains(c.hashes, xxhash.Sum64String(id))
}

// answeredBy reports whether a response with an ID, or without one, may answer a request that the connection has carried.
func (c *carried) answeredBy(id string) bool {
	return c.contains(id) || id == "" && c.unnamed
}
