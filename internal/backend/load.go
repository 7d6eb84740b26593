package backend

import "time"

// loadingTTL is how long a server counts as loading unless the report is renewed.
const loadingTTL = 4 * time.Second

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
func (set *Set) SetLoads(loads Loads, now time.Time) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	for _, e := range set.loading {
		e.load = nil
	}
	set.loading = nil
	for _, load := range loads.Loading {
		if e := set.lookup(load.Instance); e != nil {
			e.load = &load
			set.loading = append(set.loading, e)
		}
	}
	set.loadingUntil = now.Add(loadingTTL)
	for _, load := range loads.Loaded {
		set.observeVersion(load.Instance, load.Model, load.Version)
	}
}

// isLoading reports whether a server is loading a newer version of the model.
func (set *Set) isLoading(e *entry, model string, now time.Time) bool {
	load := e.load
	return load != nil && load.Model == model && e.server.Versions[model] < load.Version && now.Before(set.loadingUntil)
}
