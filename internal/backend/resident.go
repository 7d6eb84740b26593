package backend

import "math"

// Prefix is a part of a prompt that other requests share.
type Prefix struct {
	Key    uint64
	Tokens int
}

// PrefixSet estimates which shared prefixes running requests hold in the memory of a server. Requests
// that run at the same time share the memory of equal prefixes, so that the sets of several nodes
// are merged rather than summed.
//
// It has 16 lanes of 4 bits. A lane holds the length of the longest prefix whose key selects the lane,
// in half octaves from minPrefixTokens on; 0 means that there is none.
type PrefixSet uint64

const (
	prefixLanes    = 16
	bitsPerLane    = 4
	maxPrefixLevel = 1<<bitsPerLane - 1
	// minPrefixTokens is the length of the lowest level. Shorter prefixes take so little memory that
	// they are counted once per request.
	minPrefixTokens = 512
)

// prefixLevel returns the level of the length of a prefix.
func prefixLevel(tokens int) uint64 {
	if tokens < minPrefixTokens {
		return 0
	}
	return uint64(min(maxPrefixLevel, 1+math.Round(2*math.Log2(float64(tokens)/minPrefixTokens))))
}

// levelTokens holds the length of the prefixes of each level.
var levelTokens = func() (tokens [maxPrefixLevel + 1]float64) {
	for level := 1; level < len(tokens); level++ {
		tokens[level] = minPrefixTokens * math.Exp2(float64(level-1)/2)
	}
	return tokens
}()

// laneShift returns the position of the lane of a key.
func laneShift(key uint64) uint64 { return key >> 32 % prefixLanes * bitsPerLane }

// lane returns the level at a position.
func (s PrefixSet) lane(shift uint64) uint64 { return uint64(s) >> shift & maxPrefixLevel }

// with returns the set with a lane raised to a level.
func (s PrefixSet) with(shift, level uint64) PrefixSet {
	if s.lane(shift) >= level {
		return s
	}
	return s&^(maxPrefixLevel<<shift) | PrefixSet(level<<shift)
}

// Merge returns the union of two sets.
func (s PrefixSet) Merge(other PrefixSet) PrefixSet {
	if s == 0 || other == 0 {
		return s | other
	}
	for shift := uint64(0); shift < prefixLanes*bitsPerLane; shift += bitsPerLane {
		s = s.with(shift, other.lane(shift))
	}
	return s
}

// contains reports whether the set may contain a prefix. It is wrong for prefixes that share a lane
// with one that is at least as long.
func (s PrefixSet) contains(p Prefix) bool {
	level := prefixLevel(p.Tokens)
	return level > 0 && s.lane(laneShift(p.Key)) >= level
}

// collisionFactors holds, by the number of lanes in use, the estimated number of prefixes per lane in
// use (linear counting). With all lanes in use it is that of half an unused lane.
var collisionFactors = func() (factors [prefixLanes + 1]float64) {
	for used := 1; used < len(factors); used++ {
		unused := max(0.5, float64(prefixLanes-used))
		factors[used] = prefixLanes * math.Log(prefixLanes/unused) / float64(used)
	}
	return factors
}()

// Tokens returns the estimated total length of the prefixes.
func (s PrefixSet) Tokens() int {
	sum, used := 0.0, 0
	for rest := uint64(s); rest != 0; rest >>= bitsPerLane {
		if level := rest & maxPrefixLevel; level > 0 {
			sum += levelTokens[level]
			used++
		}
	}
	return int(sum * collisionFactors[used])
}

// residentPrefix is a prefix with the number of this node's attempts that use it.
type residentPrefix struct {
	Prefix
	attempts int
}

// residents is what this node's attempts in flight hold in the memory of a server.
type residents struct {
	// tokens counts the tokens that the attempts do not share, and prefixes what they share. lanes is
	// the set of the prefixes.
	tokens   int
	prefixes []residentPrefix
	lanes    PrefixSet
}

// add counts an attempt.
func (r *residents) add(tokens int, shared []Prefix) {
	r.tokens += tokens
	for _, p := range shared {
		if prefixLevel(p.Tokens) == 0 {
			r.tokens += p.Tokens
		} else if i := r.index(p.Key); i >= 0 {
			r.prefixes[i].attempts++
		} else {
			r.prefixes = append(r.prefixes, residentPrefix{Prefix: p, attempts: 1})
			r.lanes = r.lanes.with(laneShift(p.Key), prefixLevel(p.Tokens))
		}
	}
}

// remove reverts add.
func (r *residents) remove(tokens int, shared []Prefix) {
	r.tokens -= tokens
	for _, p := range shared {
		if prefixLevel(p.Tokens) == 0 {
			r.tokens -= p.Tokens
			continue
		}
		i := r.index(p.Key)
		if r.prefixes[i].attempts--; r.prefixes[i].attempts == 0 {
			last := len(r.prefixes) - 1
			r.prefixes[i] = r.prefixes[last]
			r.prefixes = r.prefixes[:last]
			r.lanes = r.computeLanes()
		}
	}
}

// index returns the position of a prefix, or -1.
func (r *residents) index(key uint64) int {
	for i := range r.prefixes {
		if r.prefixes[i].Key == key {
			return i
		}
	}
	return -1
}

func (r *residents) computeLanes() (s PrefixSet) {
	for _, p := range r.prefixes {
		s = s.with(laneShift(p.Key), prefixLevel(p.Tokens))
	}
	return s
}

// total returns the tokens that attempts of this node and of others hold, and the set of their
// prefixes. What only this node holds is counted exactly.
func (r *residents) total(peers Work) (int, PrefixSet) {
	merged := r.lanes.Merge(peers.SharedPrefixes)
	if peers.SharedPrefixes != 0 {
		return r.tokens + peers.ResidentTokens + merged.Tokens(), merged
	}
	total := r.tokens + peers.ResidentTokens
	for _, p := range r.prefixes {
		total += p.Tokens
	}
	return total, merged
}

// residentUse is what one attempt holds in the memory of a server.
type residentUse struct {
	tokens  int
	shared  []Prefix
	counted bool
}

// begin counts the attempt, at most once. A deferred attempt holds no memory until it starts.
func (u *residentUse) begin(local *localState) {
	if !u.counted {
		u.counted = true
		local.residents.add(u.tokens, u.shared)
	}
}

// end reverts begin.
func (u *residentUse) end(local *localState) {
	if u.counted {
		u.counted = false
		local.residents.remove(u.tokens, u.shared)
	}
}
