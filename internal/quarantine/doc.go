// Package quarantine detects requests, and parts of prompts, that crash the servers that run them,
// and rejects further requests of that kind on any node of the fleet. Logs and metrics call a
// quarantined request "held off".
//
// Each retry by a caller is a new request to all other parts of a node; only its Fingerprint
// identifies it as the same, and those of the shared parts of its prompt what it has in common with
// others. These are its Suspects. A crash affects all requests on the server, and servers crash for
// other reasons too, so a single crash does not incriminate any of them:
//
//   - A suspicion is raised when a server closes a connection before its complete response and
//     has answered nothing that was sent later. It consists of the suspects and the incarnation
//     of the server.
//   - A suspect is quarantined after crashThreshold server crashes, a part only if they are of
//     different requests and at different times. A crash counts for half if another suspect, which
//     the rejected request does not contain, ran on the server and has enough crashes to be to blame.
//   - A complete response at any node clears a request for servedTTL, and a part of the crashes
//     before that request was sent. A crash is discounted once the server has answered since, and
//     expires after crashTTL.
//   - The quarantine of a request ends with time. A part is tried now and then by one request of
//     the fleet, see Trials.
//
// Ledger is deterministic: it depends only on the observations and times passed to it. Nodes
// exchange observations along with their other state. Persister writes the quarantine to the
// shared store, so that it survives the simultaneous replacement of all nodes.
package quarantine
