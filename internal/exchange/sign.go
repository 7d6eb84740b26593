package exchange

// Sign is what shows that an attempt did not run and never will. A request that may run once is sent again, and its
// caller is promised that it did not run, only by one. It is for logs and metrics: the Machine decides by the event.
type Sign struct{ name string }

// The signs. Their names are labels of metrics.
var (
	// SignStated is the statement of the server that the attempt was meant for, or of the one at its address.
	SignStated = Sign{"stated"}
	// SignUnsent is that no connection was established, or that none took a byte.
	SignUnsent = Sign{"unsent"}
	// SignWithdrawn is that this node decided, after it chose the server, to send nothing.
	SignWithdrawn = Sign{"withdrawn"}
)

// ByPeer returns the sign as reported by another node, to which the attempt was forwarded.
func (s Sign) ByPeer() Sign { return Sign{"peer_" + s.name} }

// String returns the name, or "" for the zero value, which is no sign.
func (s Sign) String() string { return s.name }
