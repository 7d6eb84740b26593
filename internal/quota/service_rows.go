package quota

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// ServiceRow is a row that describes the demand for a service, in prompt tokens: per second for a
// rank, and in total for promised returns.
type ServiceRow struct {
	// Subject is the ServiceSubject of the service.
	Subject uint64
	// Promised is set for a row on promised returns: Requested is the amount promised and not
	// expired, and Admitted the redeemed part of it. Otherwise the row is on the urgency rank
	// Rank: Requested is the demand, and Admitted the admitted part of it.
	Promised  bool
	Rank      int
	Requested float64
	Admitted  float64
}

// ServiceSubject returns the bits of the hash of a service's name that identify it in rows.
func ServiceSubject(service string) uint64 { return rowSubject(xxhash.Sum64String(service)) }

// Usage returns the row in the form in which it is reported.
func (r ServiceRow) Usage() Usage {
	kind := servicePromisedRow
	if !r.Promised {
		kind = serviceRankRow + rowKind(min(max(r.Rank, 0), rankCount-1))
	}
	return Usage{Key: rowKey(r.Subject, kind), Requested: reportable(r.Requested), Admitted: reportable(r.Admitted)}
}

// ParseServiceRow returns the service row that a reported row holds. It reports false for rows of
// other kinds.
func ParseServiceRow(u Usage) (row ServiceRow, ok bool) {
	row = ServiceRow{Subject: rowSubject(u.Key), Requested: u.Requested, Admitted: u.Admitted}
	switch k := rowKind(u.Key) & kindMask; {
	case k == servicePromisedRow:
		row.Promised = true
		return row, true
	case isRankRow(k, serviceRankRow):
		row.Rank = int(k - serviceRankRow)
		return row, true
	default:
		return ServiceRow{}, false
	}
}

// Valid reports whether the row's amounts are possible: no number is negative, and not much more
// is admitted than was requested, as the two are measured at slightly different times.
func (r ServiceRow) Valid() bool {
	const tolerance = 2
	return validRate(r.Requested) && validRate(r.Admitted) && r.Admitted <= tolerance*r.Requested
}

// reportable returns an amount that still fits the single-precision numbers of reports when the
// rows of all nodes are added up.
func reportable(amount float64) float64 {
	if math.IsNaN(amount) {
		return 0
	}
	return min(max(0, amount), math.MaxFloat32/maxReportedNodes)
}
