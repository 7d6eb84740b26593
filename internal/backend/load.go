package backend

import "time"

// loadingTTL is how long a server counts as loading unless the report is renewed.
const loadingLife = 4 * time.Second

// Load identifies the loading of a model version by a server.
type Load struct {
	Instance string
	Model    string
	Version  int64
}

// LoadsMark orders the reports of successive rollout holders.
type LoadsMark struct {
	// Fence is the holder's fencing token, and Sequence the number of the report under that token.
	Fence    int64
	Sequence int64
}

// Before reports whether m is older than other.
func (m LoadsMark) Before(other LoadsMark) bool {
	return m.Fence < other.Fence || m.Fence == other.Fence && m.Sequence < other.Sequence
}

// Loads is the progress of a rollout of model versions.
type Loads struct {
	Mark LoadsMark
	// Loading holds the loads in progress, and Loaded those completed since the rollout began.
	Loading []Load
	Loaded  []Load
}

// SetLoads replaces the progress of the rollout. Servers that are not in Loading are not
// loading.
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

// isLoading reports whether a server is loading a newer version of the model.
func (set *Set) loads(known *state, model string, now time.Time) bool {
	load := known.load
	return load != nil && load.Model == model && known.server.Versions[model] < load.Version && now.Before(set.loadingUntil)
}
