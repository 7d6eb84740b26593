package backend

import "time"

// loadingLife is how long a server is taken to load weights if nothing more is
// heard of it.
const loadingLife = 4 * time.Second

// Load is a server's move to a version of a model's weights.
type Load struct {
	Instance string
	Model    string
	Version  int64
}

// LoadsMark orders what holders of the roll-out tell of it.
type LoadsMark struct {
	// Fence is the holder's fencing token, and Sequence counts what it told.
	Fence    int64
	Sequence int64
}

// Before reports whether the mark is older than another.
func (m LoadsMark) Before(other LoadsMark) bool {
	return m.Fence < other.Fence || m.Fence == other.Fence && m.Sequence < other.Sequence
}

// Loads is how far a roll-out of weights is.
type Loads struct {
	Mark LoadsMark
	// Loading holds the moves that are under way, and Loaded those that have ended
	// since the roll-out began.
	Loading []Load
	Loaded  []Load
}

// Load takes how far a roll-out is. Servers that are not named do not load.
func (set *Set) Load(loads Loads, now time.Time) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	for _, known := range set.loading {
		known.load = nil
	}
	set.loading = nil
	for _, load := range loads.Loading {
		if known := set.find(load.Instance); known != nil {
			known.load = &load
			set.loading = append(set.loading, known)
		}
	}
	set.loadingUntil = now.Add(loadingLife)
	for _, load := range loads.Loaded {
		set.learn(load.Instance, load.Model, load.Version)
	}
}

// loads reports whether a server is busy loading weights of the model.
func (set *Set) loads(known *state, model string, now time.Time) bool {
	load := known.load
	return load != nil && load.Model == model && known.server.Versions[model] < load.Version && now.Before(set.loadingUntil)
}
