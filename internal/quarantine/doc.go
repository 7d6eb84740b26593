// Package quarantine remembers what requests have done to servers, across their tries and
// over the whole fleet, and says which requests are held off.
//
// A request may end each server that begins to run it. A caller that comes again, at any
// node, is a new request to all else: only its Fingerprint says that it is the same. A
// server that ends takes all that it ran with it, and servers end for other reasons too,
// so that one end is no proof against any request:
//
//   - What raises a suspicion is a connection that the server closed before its whole
//     answer, if the server has answered nothing sent later. It names the request and the
//     server's incarnation.
//   - What holds a request off is the end of enoughEnds servers. One at which another
//     request ran that has ended more servers than this one counts for half.
//   - What clears it is one whole answer, at any node, for servedLife; a server that has
//     answered since; and time.
//
// Ledger is pure: it takes facts and a time. Nodes pass facts on with what else they tell
// each other; Keeper writes what is held off into the shared store, for a fleet of which
// all nodes are replaced at once.
package quarantine
