package quota

import (
	"cmp"
	"slices"
)

// rowKind identifies what a row on a service or server counts. It occupies the low bits of the
// row's key. A tenant's key has bits of its hash there, so that for each kind one tenant in
// 2^kindBits is mistaken for a row. Rows are sent as usages, so that builds that do not know a kind still sum them and pass
// them on.
type rowKind uint64

const (
	kindBits         = 24
	kindMask rowKind = 1<<kindBits - 1

	// requestedRow describes a service. Requested is the request rate at the reporting nodes,
	// and Admitted the number of these nodes.
	requestedRow rowKind = 0x5e7a01
	// limitRow describes a server. Requested is the sum of the limits that it recently
	// advertised to nodes, and Admitted the number of these nodes.
	limitRow rowKind = 0x5e7a02
	// sentRow describes a server. Admitted is the rate at which nodes send it requests, and
	// Requested the number of nodes that recently learned from it that it advertises no limit
	// any more.
	sentRow rowKind = 0x5e7a03
	// loweredRow describes a server that recently lowered its limit. Requested is the sum of the
	// lowered limits advertised to nodes, and Admitted the number of these nodes.
	loweredRow rowKind = 0x5e7a04
	// toleranceRow describes a service whose servers are brittle. Requested is the sum of the rejections
	// per second that they survive, as announced to nodes, and Admitted the number of these nodes.
	toleranceRow rowKind = 0x5e7a05
	// roomDemandRow describes such a service like a requestedRow.
	roomDemandRow rowKind = 0x5e7a06
	// tenantRankRow plus an urgency rank describes a tenant with a limit: the demand of its requests
	// of that rank, and the admitted part of it, in the limit's unit per second.
	tenantRankRow rowKind = 0x5e7b00
	// tenantPromisedRow describes a tenant with a limit. Requested is the amount promised to refused
	// callers that has not expired, and Admitted the part of it that has been redeemed.
	tenantPromisedRow rowKind = 0x5e7b10
	// serviceRankRow plus an urgency rank describes a service: the demand of its requests of that
	// rank, and the admitted part of it, in prompt tokens per second.
	serviceRankRow rowKind = 0x5e7c00
	// servicePromisedRow describes a service, with the same meanings as tenantPromisedRow.
	servicePromisedRow rowKind = 0x5e7c10
)

// rankCount is the number of urgency ranks; 0 is the most urgent.
const rankCount = 10

// maxRows bounds the rows of one report, to 3 kB. Services, which are few, go first, then tenants.
const maxRows = 192

// rowKey returns the key of a row of a kind on the service or server with the given hash.
func rowKey(subject uint64, k rowKind) uint64 { return subject&^uint64(kindMask) | uint64(k) }

// isRow reports whether a key belongs to a row rather than to a tenant.
func isRow(key uint64) bool {
	switch k := rowKind(key) & kindMask; k {
	case requestedRow, limitRow, sentRow, loweredRow, toleranceRow, roomDemandRow, tenantPromisedRow, servicePromisedRow:
		return true
	default:
		return isRankRow(k, tenantRankRow) || isRankRow(k, serviceRankRow)
	}
}

// isRankRow reports whether a kind is that of a row by rank, whose first kind is given.
func isRankRow(k, first rowKind) bool { return k >= first && k < first+rankCount }

// TruncateRows returns the first maxRows rows in a stable order.
func TruncateRows(rows []Usage) []Usage {
	slices.SortFunc(rows, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(sortGroup(a.Key), sortGroup(b.Key)), cmp.Compare(a.Key, b.Key))
	})
	return rows[:min(len(rows), maxRows)]
}

// sortGroup returns the position of a row's group in a report.
func sortGroup(key uint64) int {
	switch k := rowKind(key) & kindMask; {
	case k == requestedRow, k == toleranceRow, k == roomDemandRow, k == servicePromisedRow, isRankRow(k, serviceRankRow):
		return 0
	case k == tenantPromisedRow, isRankRow(k, tenantRankRow):
		return 1
	default:
		return 2
	}
}
