package backend

import (
	"maps"
	"strconv"
)

// Server is one incarnation of a server, as it tells of itself.
type Server struct {
	// Instance is its id, and Born the Unix millisecond of its start, or 0 if it does not tell
	// it: another incarnation may start under the same id. See Incarnation.
	Instance string
	Born     int64
	Service  string
	Address  string
	Zone     string
	// Slots is how many requests it runs at once.
	Slots    int
	Draining bool
	// Versions is the loaded version of each model. It is not changed once it is set:
	// a change makes a copy. Servers may share it.
	Versions map[string]int64
	// Revision is the shared store's at which this was written, and Created that at which the
	// server came into the list; 0 says that it is not known.
	Revision int64
	Created  int64
}

// Incarnation names one life of a server.
func (server Server) Incarnation() string {
	if server.Born == 0 {
		return server.Instance
	}
	return server.Instance + "@" + strconv.FormatInt(server.Born, 10)
}

// Equal reports whether two descriptions say the same, whenever they were written. A server
// that left the list and came back is another one in this.
func (server Server) Equal(other Server) bool {
	return server.Instance == other.Instance && server.Born == other.Born && server.Service == other.Service && server.Address == other.Address &&
		server.Zone == other.Zone && server.Slots == other.Slots && server.Draining == other.Draining && server.Created == other.Created &&
		maps.Equal(server.Versions, other.Versions)
}

func (server Server) clone() Server {
	versions := make(map[string]int64, len(server.Versions))
	maps.Copy(versions, server.Versions)
	server.Versions = versions
	return server
}
