package quota

import (
	"cmp"
	"slices"
)

// rowKind identifies what a row of a server report counts. It occupies the low bits of the row's
// key, where a tenant's key holds its hash, so that one tenant in kindMask is mistaken for a
// row. Rows are sent as usages, so that builds that do not know a kind still sum them and pass
// them on.
type kind uint64

const (
	kindBits      = 24
	kindMask kind = 1<<kindBits - 1

	// requestedRow describes a service. Requested is the request rate at the reporting nodes,
	// and Admitted the number of these nodes.
	askedRow kind = 0x5e7a01
	// limitRow describes a server. Requested is the sum of the limits that it recently
	// advertised to nodes, and Admitted the number of these nodes.
	namedRow kind = 0x5e7a02
	// sentRow describes a server. Admitted is the rate at which nodes send it requests, and
	// Requested the number of nodes that recently learned from it that it advertises no limit
	// any more.
	sentRow kind = 0x5e7a03
	// loweredRow describes a server that recently lowered its limit. Requested is the sum of the
	// lowered limits advertised to nodes, and Admitted the number of these nodes.
	fellRow kind = 0x5e7a04
)

// maxRows bounds the rows of one report, to 3 kB. Services, which are few, go first.
const mostRows = 192

// rowKey returns the key of a row of a kind on the service or server with the given hash.
func rowKey(subject uint64, k kind) uint64 { return subject&^uint64(kindMask) | uint64(k) }

// isRow reports whether a key belongs to a row rather than to a tenant.
func isRow(key uint64) bool {
	switch kind(key) & kindMask {
	case askedRow, namedRow, sentRow, fellRow:
		return true
	}
	return false
}

// TruncateRows returns the first maxRows rows in a stable order.
func FirstRows(rows []Use) []Use {
	ofServer := func(row Use) int {
		if kind(row.Tenant)&kindMask == askedRow {
			return 0
		}
		return 1
	}
	slices.SortFunc(rows, func(a, b Use) int {
		return cmp.Or(cmp.Compare(ofServer(a), ofServer(b)), cmp.Compare(a.Tenant, b.Tenant))
	})
	return rows[:min(len(rows), mostRows)]
}
