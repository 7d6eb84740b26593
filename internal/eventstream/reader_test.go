package eventstream

import (
	"fmt"
	"io"
	"runtime"
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

// endless repeats a text without end.
type endless struct{ text string }

func (e endless) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], e.text)
	}
	return n, nil
}

// Guards against events without end that leave many buffers behind, which take memory until they are collected.
func TestEndlessEventsLeaveLittleGarbage(t *testing.T) {
	const streams = 100
	for name, text := range map[string]string{"long line": "token ", "many lines": "data: token\n"} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range streams {
				_, err := NewReader(endless{text}, 1<<10).Next()
				require.ErrorIs(t, err, ErrEventTooLong)
			}
			runtime.ReadMemStats(&after)
			perStream := (after.TotalAlloc - before.TotalAlloc) / streams
			t.Logf("%d bytes a stream", perStream)
			require.LessOrEqual(t, perStream, uint64(MaxEventBytes))
		})
	}
}

// Large events of streams that are read at once keep their bytes, and are reserved before they are held.
func TestLargeEventsShareNoBuffer(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 200<<10), 1, 6)
		type stream struct {
			*Reader
			sizes    []int
			reserved int
			last     Event
			text     string
		}
		streams := []*stream{}
		for i := range 3 {
			s := &stream{sizes: sizes.Draw(t, "sizes"), text: string(rune('a' + i))}
			source := strings.Builder{}
			for _, size := range s.sizes {
				source.WriteString("data: " + strings.Repeat(s.text, size) + "\n\n")
			}
			s.Reader = NewReader(strings.NewReader(source.String()), 1<<10)
			s.Reserve = func(bytes int) error {
				s.reserved = bytes
				return nil
			}
			streams = append(streams, s)
		}
		for len(streams) > 0 {
			i := rapid.IntRange(0, len(streams)-1).Draw(t, "next")
			s := streams[i]
			if len(s.sizes) == 0 {
				_, err := s.Next()
				require.Equal(t, io.EOF, err)
				streams = append(streams[:i], streams[i+1:]...)
				continue
			}
			var err error
			s.last, err = s.Next()
			require.NoError(t, err)
			for _, s := range streams {
				if s.last.Raw != nil {
					size := len(s.last.Raw) - len("data: \n\n")
					require.Equal(t, "data: "+strings.Repeat(s.text, size)+"\n\n", string(s.last.Raw))
				}
			}
			require.Len(t, s.last.Raw, s.sizes[0]+len("data: \n\n"))
			if len(s.last.Raw) > 2*keptBytes {
				require.GreaterOrEqual(t, s.reserved, len(s.last.Raw))
			}
			s.sizes = s.sizes[1:]
		}
	})
}
