package keepalive

// Surplus is what a response is that answers no request which waits for one. The values are labels of metrics.
type Surplus string

// SurplusUnknown means that it bears an ID that the connection has not carried, or none.
const SurplusUnknown Surplus = "unknown"
