package eventstream

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

func TestNextPreservesBytesAndRejectsTruncatedEvent(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		events := []string{}
		for number := range rapid.IntRange(0, 8).Draw(t, "events") {
			data := rapid.StringMatching(`[a-z ]{0,40}`).Draw(t, "data")
			lineEnd := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
			events = append(events, fmt.Sprintf("note: 3%sid: %d%sdata: %s%s%s", lineEnd, number+7, lineEnd, data, lineEnd, lineEnd))
		}
		stream := strings.Join(events, "")
		truncateAt := rapid.IntRange(0, len(stream)).Draw(t, "cut")
		reader := NewReader(iotest.OneByteReader(strings.NewReader(stream[:truncateAt])), 16)
		bytesRead := 0
		for number := 0; ; number++ {
			event, err := reader.Next()
			if err != nil {
				expected := io.ErrUnexpectedEOF
				if bytesRead == truncateAt {
					expected = io.EOF
				}
				require.Equal(t, expected, err)
				return
			}
			require.Equal(t, events[number], string(event.Raw))
			require.True(t, event.HasID)
			require.Equal(t, int64(number+7), event.ID)
			bytesRead += len(event.Raw)
		}
	})
}

func FuzzNextReturnsPrefixOfInput(f *testing.F) {
	f.Add("id: 1\ndata: x\n\n")
	f.Add("id: x\n\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		reader := NewReader(strings.NewReader(stream), 16)
		joined := ""
		for {
			event, err := reader.Next()
			if err != nil {
				break
			}
			joined += string(event.Raw)
		}
		require.True(t, strings.HasPrefix(stream, joined))
	})
}
