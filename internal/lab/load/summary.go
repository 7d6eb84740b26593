package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary holds aggregate results of a history.
type Summary struct {
	Requests         int
	Succeeded        int
	Incorrect        int
	Broken           int
	HitRate          float64
	RecomputedTokens int
	FirstToken       *hdrhistogram.Histogram
	Refusals         map[string]int
}

const maxLatencyMicros = int64(time.Minute / time.Microsecond)

// Summarize returns the aggregate results of a history.
func Summarize(history []Record) Summary {
	summary := Summary{FirstToken: hdrhistogram.New(1, maxLatencyMicros, 3), Refusals: map[string]int{}}
	prompt, cached := 0, 0
	for _, record := range history {
		summary.Requests++
		switch {
		case record.ConnectionBroken:
			summary.Broken++
		case record.Status != 200:
			summary.Refusals[fmt.Sprintf("%s (%s)", record.Code, record.Outcome)]++
		case !record.Complete || !record.Correct:
			summary.Incorrect++
		default:
			summary.Succeeded++
		}
		if record.Usage != nil {
			prompt += record.Usage.PromptTokens
			cached += record.Usage.Details.CachedTokens
		}
		if record.FirstToken > 0 && record.Kind == Streaming {
			_ = summary.FirstToken.RecordValue(int64(record.FirstToken / time.Microsecond))
		}
	}
	summary.RecomputedTokens = prompt - cached
	if prompt > 0 {
		summary.HitRate = float64(cached) / float64(prompt)
	}
	return summary
}

// Print writes the summary as a table.
func (summary Summary) Print(output io.Writer) error {
	columns := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(columns, "%s\t%v\n", name, value) }
	row("requests", summary.Requests)
	row("complete and correct", summary.Succeeded)
	row("incorrect or incomplete", summary.Incorrect)
	row("connection broken", summary.Broken)
	row("prefix hit rate", fmt.Sprintf("%.1f %%", 100*summary.HitRate))
	row("recomputed tokens", summary.RecomputedTokens)
	for _, quantile := range []float64{50, 95, 99} {
		value := time.Duration(summary.FirstToken.ValueAtQuantile(quantile)) * time.Microsecond
		row(fmt.Sprintf("first token p%.0f", quantile), value.Round(100*time.Microsecond))
	}
	kinds := []string{}
	for kind := range summary.Refusals {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	if len(kinds) == 0 {
		row("refusals", "none")
	}
	for _, kind := range kinds {
		row("refused: "+kind, summary.Refusals[kind])
	}
	return columns.Flush()
}
