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
)

// maxRows bounds the rows of one report, to 3 kB. Services, which are few, go first.
const maxRows = 192

// rowKey returns the key of a row of a kind on the service or server with the given hash.
func rowKey(subject uint64, k rowKind) uint64 { return subject&^uint64(kindMask) | uint64(k) }

// isRow reports whether a key belongs to a row rather than to a tenant.
func isRow(key uint64) bool {
	switch rowKind(key) & kindMask {
	case requestedRow, limitRow, sentRow, loweredRow:
		return true
	}
	return false
}

// TruncateRows returns the first maxRows rows in a stable order.
func TruncateRows(rows []Usage) []Usage {
	sortGroup := func(row Usage) int {
		if rowKind(row.Tenant)&kindMask == requestedRow {
			return 0
		}
		return 1
	}
	slices.SortFunc(rows, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(sortGroup(a), sortGroup(b)), cmp.Compare(a.Tenant, b.Tenant))
	})
	return rows[:min(len(rows), maxRows)]
}
