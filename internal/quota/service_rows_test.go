package quota

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// Guards against rows that other nodes read as something else, or cannot add up.
func TestServiceRowsSurviveEncoding(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		row := ServiceRow{Subject: ServiceSubject(rapid.String().Draw(t, "service")), Promised: rapid.Bool().Draw(t, "promised"),
			Requested: float64(rapid.IntRange(0, 1e9).Draw(t, "requested")), Admitted: float64(rapid.IntRange(0, 1e9).Draw(t, "admitted"))}
		if !row.Promised {
			row.Rank = rapid.IntRange(0, rankCount-1).Draw(t, "rank")
		}
		decoded, err := DecodeReport(Report{Nodes: 1, Rows: []Usage{row.Usage()}}.Encode())
		require.NoError(t, err)
		require.Len(t, decoded.Rows, 1)
		parsed, ok := ParseServiceRow(decoded.Rows[0])
		require.True(t, ok)
		require.Equal(t, row.Subject, parsed.Subject)
		require.Equal(t, row.Promised, parsed.Promised)
		require.Equal(t, row.Rank, parsed.Rank)
		require.InDelta(t, row.Requested, parsed.Requested, 1e-6*row.Requested)
		require.InDelta(t, row.Admitted, parsed.Admitted, 1e-6*row.Admitted)
	})
}

func TestServiceRowsAreClampedAndOtherRowsIgnored(t *testing.T) {
	require.Equal(t, serviceRankRow+rankCount-1, rowKind(ServiceRow{Rank: 99}.Usage().Key)&kindMask)
	require.Equal(t, serviceRankRow, rowKind(ServiceRow{Rank: -1}.Usage().Key)&kindMask)
	huge := ServiceRow{Requested: math.Inf(1), Admitted: math.NaN()}.Usage()
	require.True(t, validRate(float64(float32(huge.Requested*maxReportedNodes))))
	require.Zero(t, huge.Admitted)
	for _, kind := range []rowKind{requestedRow, limitRow, sentRow, loweredRow, tenantRankRow, tenantPromisedRow} {
		_, ok := ParseServiceRow(Usage{Key: rowKey(1<<40, kind), Requested: 1})
		require.False(t, ok, "kind %x", kind)
	}
	require.True(t, ServiceRow{Requested: 10, Admitted: 11}.Valid())
	require.False(t, ServiceRow{Requested: 10, Admitted: 30}.Valid())
	require.False(t, ServiceRow{Requested: math.NaN()}.Valid())
}
