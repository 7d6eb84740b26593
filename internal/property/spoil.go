package property

import (
	"bytes"
	"regexp"
	"strings"

	"pgregory.net/rapid"
)

var digits = regexp.MustCompile(`[0-9]+`)

// Spoilings holds ways in which another writer spoils a value. Position chooses where, and is 0 or more.
var Spoilings = map[string]func(value []byte, position int) []byte{
	"cut":     func(value []byte, position int) []byte { return bytes.Clone(value[:position%(len(value)+1)]) },
	"doubled": func(value []byte, _ int) []byte { return append(bytes.Clone(value), value...) },
	"nested": func([]byte, int) []byte {
		return []byte(strings.Repeat("[", 100) + strings.Repeat("]", 100))
	},
	"huge numbers": func(value []byte, _ int) []byte {
		return digits.ReplaceAll(value, []byte("9223372036854775807"))
	},
	"turned bits": func(value []byte, position int) []byte {
		turned := bytes.Clone(value)
		for i := range turned {
			if i%7 == position%7 {
				turned[i] ^= 1 << (position % 8)
			}
		}
		return turned
	},
	"one turned bit": func(value []byte, position int) []byte {
		turned := bytes.Clone(value)
		if len(turned) > 0 {
			turned[position/8%len(turned)] ^= 1 << (position % 8)
		}
		return turned
	},
	"a huge varint": func(value []byte, position int) []byte {
		// The encoding of gob's largest unsigned numbers.
		at := position % (len(value) + 1)
		return append(bytes.Clone(value[:at]), append([]byte{0xf8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xfe}, value[min(len(value), at+1):]...)...)
	},
}

// Spoil returns a value as another writer may have spoilt it.
func Spoil(t *rapid.T, value []byte) []byte {
	names := []string{"cut", "doubled", "nested", "huge numbers", "turned bits", "one turned bit", "a huge varint"}
	return Spoilings[rapid.SampledFrom(names).Draw(t, "spoiling")](value, rapid.IntRange(0, 1<<14).Draw(t, "position"))
}
