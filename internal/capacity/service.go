package capacity

import "time"

const (
	// shortPrompt is the number of tokens below which the time to the first token shows the base
	// time, and from which it shows the prefill rate.
	shortPrompt = 1000
	// minServiceWeight is the weight of samples from which a service's own values are known. A
	// single wrong sample is not enough.
	minServiceWeight = 3
	// minPrefillShare is the smallest share of the time to the first token that counts as prefill.
	// It bounds the rate of a sample that took less than the base time.
	minPrefillShare = 0.1
	// refreshInterval is how long the values derived from all servers are used.
	refreshInterval = 500 * time.Millisecond
	// serverRetention is how long a server is kept after its last use, and maxServers bounds the
	// servers of a service.
	serverRetention = 2 * time.Minute
	maxServers      = 4096
)

// service is what is known of a service and its servers.
type service struct {
	servers map[uint64]*server
	usedAt  time.Time
	// rates holds the prefill rates of all attempts, slots the slot times, and bases the base
	// times.
	rates histogram
	slots histogram
	bases histogram

	// The remaining fields are derived from the samples and votes by refresh.
	refreshedAt   time.Time
	refreshedSize int
	// typicalRate is the prefill rate of the service in tokens per second, and typicalSlot and base
	// its slot time and base time in seconds; 0 if unknown.
	typicalRate float64
	typicalSlot float64
	base        float64
	// differ is set if the rates of the servers differ so much that each has its own.
	differ bool
	// compared is the buffer of the rates that refresh compares.
	compared []float64
}

// observe learns the base time from a short prompt, and the prefill rate from a longer one. A short
// prompt behind queued ones teaches nothing: if it is urgent, the server processes it first.
func (s *service) observe(m Measurement, now time.Time) {
	if m.Tokens < shortPrompt {
		s.observeBase(m, now)
		return
	}
	if m.Tokens-m.Queued < shortPrompt {
		return
	}
	base := s.baseSeconds(now)
	elapsed := m.Elapsed.Seconds()
	prefill := max(elapsed-base, minPrefillShare*elapsed)
	rate := float64(m.Tokens) * Slowdown(m.Running) / prefill
	// The base time varies, so that the rate of a prefill that takes less time is less certain.
	weight := 1.0
	if s.typicalRate > 0 {
		expected := float64(m.Tokens) / s.typicalRate
		weight = expected / (expected + base)
	}
	weight *= ownShare(m)
	bin := rateScale.bin(rate)
	s.rates.add(bin, weight, now)
	if server := s.use(m.Server, now); server != nil {
		server.addRate(bin, weight, now)
	}
}

// ownShare returns the weight of a measurement by the share of the attempt's own tokens. The server
// has already processed some of the queued tokens, and it may process a more urgent attempt before
// the others, so that the rate over a long queue is overestimated.
func ownShare(m Measurement) float64 {
	share := float64(m.Tokens-m.Queued) / float64(m.Tokens)
	return share * share
}

func (s *service) observeBase(m Measurement, now time.Time) {
	seconds := m.Elapsed.Seconds()
	if s.typicalRate > 0 {
		seconds = max(seconds-float64(m.Tokens)*Slowdown(m.Running)/s.typicalRate, 0)
	}
	s.bases.add(timeScale.bin(seconds), 1, now)
}

func (s *service) observeSlot(key uint64, seconds float64, now time.Time) {
	bin := timeScale.bin(seconds)
	s.slots.add(bin, 1, now)
	if server := s.use(key, now); server != nil {
		server.addSlot(bin, now)
	}
}

// use returns the state of a server, and adds it if it is new. It returns nil if there are too many.
func (s *service) use(key uint64, now time.Time) *server {
	found := s.servers[key]
	if found == nil {
		if len(s.servers) >= maxServers {
			return nil
		}
		found = &server{}
		s.servers[key] = found
	}
	found.usedAt = now
	return found
}

// baseSeconds returns the base time, or 0 if it is unknown.
func (s *service) baseSeconds(now time.Time) float64 {
	if s.bases.total < minServiceWeight {
		return 0
	}
	return timeScale.value(s.bases.median(now, 0, 0))
}

// typical returns the derived values of the service.
func (s *service) typical() Estimate {
	return Estimate{PrefillTokensPerSecond: s.typicalRate, SlotSeconds: s.typicalSlot, BaseSeconds: s.base, Known: s.typicalRate > 0}
}

// estimate returns the derived values of a server, or those of the service if it is nil.
func (s *service) estimate(server *server) Estimate {
	e := s.typical()
	if server == nil || !s.differ {
		return e
	}
	if server.rate > 0 {
		e.PrefillTokensPerSecond = server.rate
	}
	if server.slot > 0 {
		e.SlotSeconds = server.slot
	}
	return e
}
