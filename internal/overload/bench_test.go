package overload

import (
	"fmt"
	"testing"
	"time"

	"github.com/cloverrail/cloverrail/internal/quota"
)

// BenchmarkAdmit measures one decision under pressure with demand of all ranks and outstanding
// promises, by the number of nodes whose demand the peer rows sum up.
func BenchmarkAdmit(b *testing.B) {
	for _, nodes := range []int{1, 75, 10_000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			s, now := NewServices(NewLocalPromises()), begin
			s.Resize(nodes)
			c := s.Controller("s", now)
			var rows []quota.Usage
			for rank := range RankCount {
				rows = append(rows, quota.ServiceRow{Subject: c.subject, Rank: rank, Requested: 1000 * float64(nodes), Admitted: 900}.Usage())
			}
			number := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				number++
				if number%1000 == 0 {
					s.SetPeerRows(rows, now)
				}
				now = now.Add(time.Millisecond)
				c.Admit(overloaded(int(number%RankCount), number), now)
			}
		})
	}
}
