package quota

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/juju/errors"
)

// usageBytes is the length of an encoded usage: its tenant and two single-precision numbers.
const useBytes = 16

var errReport = errors.New("malformed quota report; all nodes must run the same version")

// Encode returns the binary form of the report. It is compact, since nodes exchange reports
// several times a second.
func (r Report) Encode() []byte {
	data := binary.AppendUvarint(nil, uint64(r.Nodes))
	for _, use := range slices.Concat(r.Uses, r.Rows) {
		data = binary.LittleEndian.AppendUint64(data, use.Tenant)
		data = binary.LittleEndian.AppendUint32(data, math.Float32bits(float32(use.Asked)))
		data = binary.LittleEndian.AppendUint32(data, math.Float32bits(float32(use.Admitted)))
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
	if n <= 0 || nodes > math.MaxInt32 || (len(data)-n)%useBytes != 0 {
		return Report{}, errReport
	}
	read := Report{Nodes: int(nodes)}
	for data = data[n:]; len(data) > 0; data = data[useBytes:] {
		use := Use{
			Tenant:   binary.LittleEndian.Uint64(data),
			Asked:    float64(math.Float32frombits(binary.LittleEndian.Uint32(data[8:]))),
			Admitted: float64(math.Float32frombits(binary.LittleEndian.Uint32(data[12:]))),
		}
		if !sound(use.Asked) || !sound(use.Admitted) {
			return Report{}, errReport
		}
		if isRow(use.Tenant) {
			read.Rows = append(read.Rows, use)
		} else {
			read.Uses = append(read.Uses, use)
		}
	}
	return read, nil
}

// validRate reports whether a number is a valid rate.
func sound(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 0) }
