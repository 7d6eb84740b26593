package quota

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/juju/errors"
)

// usageBytes is the length of an encoded usage: its tenant and two single-precision numbers.
const usageBytes = 16

var errMalformedReport = errors.New("malformed quota report; all nodes must run the same version")

// Encode returns the binary form of the report. It is compact, since nodes exchange reports
// several times a second.
func (r Report) Encode() []byte {
	data := binary.AppendUvarint(nil, uint64(r.Nodes))
	for _, usage := range slices.Concat(r.Usages, r.Rows) {
		data = binary.LittleEndian.AppendUint64(data, usage.Key)
		data = binary.LittleEndian.AppendUint32(data, math.Float32bits(float32(usage.Requested)))
		data = binary.LittleEndian.AppendUint32(data, math.Float32bits(float32(usage.Admitted)))
	}
	return data
}

// DecodeReport decodes a report. It returns the complete report or an error; empty data is a
// report of no node.
func DecodeReport(data []byte) (Report, error) {
	if len(data) == 0 {
		return Report{}, nil
	}
	nodes, n := binary.Uvarint(data)
	if n <= 0 || nodes > math.MaxInt32 || (len(data)-n)%usageBytes != 0 {
		return Report{}, errMalformedReport
	}
	report := Report{Nodes: int(nodes)}
	for data = data[n:]; len(data) > 0; data = data[usageBytes:] {
		usage := Usage{
			Key:       binary.LittleEndian.Uint64(data),
			Requested: float64(math.Float32frombits(binary.LittleEndian.Uint32(data[8:]))),
			Admitted:  float64(math.Float32frombits(binary.LittleEndian.Uint32(data[12:]))),
		}
		if !validRate(usage.Requested) || !validRate(usage.Admitted) {
			return Report{}, errMalformedReport
		}
		if isRow(usage.Key) {
			report.Rows = append(report.Rows, usage)
		} else {
			report.Usages = append(report.Usages, usage)
		}
	}
	return report, nil
}

// validRate reports whether a number is a valid rate.
func validRate(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 0) }
