package backend

import (
	"maps"
	"strconv"
)

// MaxSlots is the number of requests that a server can run concurrently at most. Sums of slots over all servers of a fleet
// stay far below the largest int.
const MaxSlots = 1 << 20

// Server describes one incarnation of a server, as registered in the server list.
type Server struct {
	// Instance is the instance ID. Born is the start time in Unix milliseconds, or 0 if not
	// reported. A restarted process may reuse the instance ID, so Incarnation combines both.
	Instance string
	Born     int64
	Service  string
	Address  string
	Zone     string
	// Software is the version of the server's software, not of its weights; "" if unknown. What two
	// versions write does not fit together.
	Software string
	// Slots is the number of requests the server runs concurrently, at most MaxSlots; 0 if unknown.
	Slots    int
	Draining bool
	// Versions maps each model to its loaded version. The map is copy-on-write and may be shared
	// between Servers, so it must not be modified in place.
	Versions map[string]int64
	// Revision is the store revision at which the entry was last written, and Created the revision
	// at which it was created; 0 if unknown.
	Revision int64
	Created  int64
}

// Incarnation returns the name of this incarnation: the instance ID, with the start time
// appended if known.
func (server Server) Incarnation() string {
	if server.Born == 0 {
		return server.Instance
	}
	return server.Instance + "@" + strconv.FormatInt(server.Born, 10)
}

// Equal reports whether two descriptions match, ignoring Revision. Created is compared, so a
// server that was removed from the list and registered again is not equal to its former entry.
func (server Server) Equal(other Server) bool {
	return server.Instance == other.Instance && server.Born == other.Born && server.Service == other.Service && server.Address == other.Address &&
		server.Zone == other.Zone && server.Software == other.Software && server.Slots == other.Slots && server.Draining == other.Draining && server.Created == other.Created &&
		maps.Equal(server.Versions, other.Versions)
}

func (server Server) clone() Server {
	versions := make(map[string]int64, len(server.Versions))
	maps.Copy(versions, server.Versions)
	server.Versions = versions
	return server
}
