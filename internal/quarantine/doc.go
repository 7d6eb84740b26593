// Package quarantine remembers what requests have done to servers, across their tries and
// over the whole fleet. A caller that comes again, at any node, is a new request to all
// else: only its Fingerprint says that it is the same.
package quarantine
