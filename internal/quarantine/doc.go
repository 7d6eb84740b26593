// Package quarantine detects requests that crash the servers that run them, and rejects
// further attempts of such requests on any node of the fleet. Logs and metrics call a
// quarantined request "held off".
//
// Each retry by a caller is a new request to all other parts of a node; only its Fingerprint
// identifies it as the same. A crash affects all requests on the server, and servers crash for
// other reasons too, so a single crash does not incriminate any of them:
//
//   - A suspicion is raised when a server closes a connection before its complete response and
//     has answered nothing that was sent later. It consists of the request and the incarnation
//     of the server.
//   - A request is quarantined after crashThreshold server crashes. A crash counts for half if
//     another request ran on the server that has at least as many crashes.
//   - A complete response at any node clears the request for servedTTL. A crash is discounted
//     once the server has answered since, and expires after crashTTL.
//
// Ledger is deterministic: it depends only on the observations and times passed to it. Nodes
// exchange observations along with their other state. Persister writes the quarantine to the
// shared store, so that it survives the simultaneous replacement of all nodes.
package quarantine
