package proxy

import (
	"sync"
	"time"
)

const (
	// defaultSlotTime is the slot time that is assumed before the first measurement.
	assumedSlotTime = 500 * time.Millisecond
	// slotTimeGain is the weight of a new measurement: the average covers about 40 runs.
	slotTimeGain = 0.025
)

// slotTime estimates how long a request occupies a slot of its engine: from the start
// of its prefill to the end of its response.
type slotTime struct {
	mutex sync.Mutex
	mean  float64
}

func newSlotTime() *slotTime { return &slotTime{mean: assumedSlotTime.Seconds()} }

// observe records the slot time of one request.
func (s *slotTime) measure(took time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.mean += slotTimeGain * (took.Seconds() - s.mean)
}

// seconds returns the estimated slot time.
func (s *slotTime) seconds() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.mean
}
