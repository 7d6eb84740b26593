package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// rosterNode is a node during a roster change from nodes 0, 1, 2 to 1, 2, 3.
type member struct {
	holder  *Holder
	adopted bool
	cut     bool
}

// TestAtMostOnceDuringRosterChange lets owners with the old and with the new
// roster claim the same keys while nodes adopt the change one by one, are
// partitioned, and restart.
func TestAtMostOnceWhileTheRosterChanges(t *testing.T) {
	property.CheckMany(t, 50_000, func(t *rapid.T) {
		now := time.UnixMilli(1_800_000_000_000)
		old, new := []int{0, 1, 2}, []int{1, 2, 3}
		members := []*member{}
		for range 4 {
			made := &member{holder: NewHolder(testConfig, now.Add(-testConfig.Window))}
			members = append(members, made)
		}
		runs := map[Key]int{}
		keys := []Key{}
		claimOnce := func(key Key, roster []int, isNew bool, cutOff []int) {
			if Check(testConfig, now, key) != nil {
				return
			}
			names := []string{}
			for _, index := range roster {
				names = append(names, fmt.Sprint(index))
			}
			round := NewRound(testConfig, now, names)
			owner := fmt.Sprintf("owner-%d-%d", now.UnixNano(), len(runs)+rapid.IntRange(0, 1<<30).Draw(t, "owner"))
			decision := Undecided
			for _, index := range roster {
				answer := Answer{Verdict: Abstained}
				reachable := true
				for _, lost := range cutOff {
					reachable = reachable && lost != index
				}
				if reachable && members[index].adopted == isNew {
					answer = members[index].holder.Claim(now, key, owner)
				}
				decision = round.Receive(now, fmt.Sprint(index), answer)
			}
			if decision == Won {
				runs[key]++
			}
		}
		join := func(index int) {
			joiner := members[index]
			if !joiner.adopted || joiner.holder.Joined() || joiner.cut {
				return
			}
			adopted, knowing, records := 0, 0, []Record{}
			for _, earlier := range old {
				told := members[earlier]
				if !told.adopted || (told.cut && earlier != index) {
					continue
				}
				adopted++
				if told.holder.KnowsEarlier(now) {
					knowing++
				}
				records = append(records, told.holder.Records(now)...)
			}
			if adopted >= len(old)-1 {
				joiner.holder.Join(now, records, knowing >= len(old)-1)
			}
		}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			which := rapid.IntRange(0, 3).Draw(t, "member")
			switch rapid.SampledFrom([]string{"key", "key", "again", "again", "again", "adopt", "adopt", "join", "join", "restart", "cut", "heal", "wait"}).Draw(t, "step") {
			case "key":
				keys = append(keys, Key{Tenant: "t", Value: keyMintedAt(now, uint64(len(keys)))})
				isNew := rapid.Bool().Draw(t, "new roster")
				claimOnce(keys[len(keys)-1], map[bool][]int{false: old, true: new}[isNew], isNew, []int{which})
			case "again":
				if len(keys) > 0 {
					isNew := rapid.Bool().Draw(t, "new roster")
					key := rapid.SampledFrom(keys).Draw(t, "key")
					claimOnce(key, map[bool][]int{false: old, true: new}[isNew], isNew, []int{which})
				}
			case "adopt":
				if !members[which].adopted {
					members[which].adopted = true
					members[which].holder.ChangeRoster()
				}
			case "join":
				join(which)
			case "restart":
				// A restarted process keeps the configuration that it had adopted.
				members[which].holder = NewHolder(testConfig, now)
				if members[which].adopted {
					members[which].holder.AwaitJoin()
				}
			case "cut":
				members[which].cut = true
			case "heal":
				for _, each := range members {
					each.cut = false
				}
			case "wait":
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "milliseconds")) * time.Millisecond)
			}
			now = now.Add(time.Millisecond)
		}
		for key, count := range runs {
			require.LessOrEqual(t, count, 1, "key %s", key.Value)
		}
	})
}
