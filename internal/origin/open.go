package origin

import (
	"sync"
	"time"
)

const (
	// endedRetention is how long a stream counts as open after its last event was passed on: the caller may not
	// have received it yet.
	endedRetention = time.Second
	// maxOpenStreams bounds the tracked streams. Beyond it, new ones are not tracked.
	maxOpenStreams = 1 << 14
)

// OpenStreams tracks the streams of one node that callers may still resume: those that are open, have just
// ended, or broke. It is safe for concurrent use.
type OpenStreams struct {
	mutex   sync.Mutex
	streams map[Key]openStream
	// mixed reports that records of some service were needed at the last call of Streams.
	mixed bool
	began chan struct{}
}

// openStream is one stream. Always reports that its record is needed whatever software versions there are.
type openStream struct {
	origin Origin
	always bool
	// until is when the stream counts as open no longer; zero while it is open.
	until time.Time
}

// NewOpenStreams returns a tracker without streams.
func NewOpenStreams() *OpenStreams {
	return &OpenStreams{streams: map[Key]openStream{}, began: make(chan struct{}, 1)}
}

// Begin records that a stream has begun or goes on at this node. Always reports that its record is needed even
// while the service has one software version.
func (s *OpenStreams) Begin(key Key, o Origin, always bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, found := s.streams[key]
	if !found && len(s.streams) >= maxOpenStreams {
		return
	}
	if found && known.origin != o {
		// Two tries of the caller had the same ID.
		o.Software = ""
	}
	s.streams[key] = openStream{origin: o, always: always || known.always}
	if !always && !s.mixed {
		return
	}
	select {
	case s.began <- struct{}{}:
	default:
	}
}

// End records that the node's response with a stream has ended at a time. Complete reports that it was passed on
// whole; a caller may resume one that was not until a given time.
func (s *OpenStreams) End(key Key, complete bool, resumableUntil, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stream, found := s.streams[key]
	if !found {
		return
	}
	stream.until = now.Add(endedRetention)
	if !complete && resumableUntil.After(stream.until) {
		stream.until = resumableUntil
	}
	if latest := now.Add(retention); stream.until.After(latest) {
		stream.until = latest
	}
	s.streams[key] = stream
}

// Began returns a channel that has an element after a stream has begun whose record may be needed. It is for one
// receiver.
func (s *OpenStreams) Began() <-chan struct{} { return s.began }

// Streams returns the streams whose records are needed: those of the given services, and those that always are.
func (s *OpenStreams) Streams(services map[string]bool, now time.Time) map[Key]Origin {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.mixed = len(services) > 0
	needed := map[Key]Origin{}
	for key, stream := range s.streams {
		switch {
		case !stream.until.IsZero() && now.After(stream.until):
			delete(s.streams, key)
		case stream.always || services[stream.origin.Service]:
			needed[key] = stream.origin
		}
	}
	return needed
}

// Len returns the number of tracked streams.
func (s *OpenStreams) Len() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.streams)
}
