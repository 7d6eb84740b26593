package proxy

import "time"

// minimumVersion returns the oldest version of a model's weights that may serve now.
// It uses the latest replica, not the one with which the request was admitted.
func (proxy *Proxy) minimumVersion(model string, now time.Time) int64 {
	replica := proxy.replica.Load()
	tolerated := proxy.bounds.Weights - weightsMargin
	if now.Sub(replica.DisruptedAt) < tolerated {
		return 0
	}
	// A version found by the first read may have been released at any earlier time.
	firstReadAt := proxy.started.Add(proxy.bounds.StartupGrace - startupGraceMargin - tolerated)
	return replica.Weights[model].Required(now.Add(-tolerated), firstReadAt)
}

// replacedLoss returns the share of an answer's value that is lost if it is begun now
// with a version of a model's weights.
func (proxy *Proxy) replacedLoss(model string, version int64, now time.Time) float64 {
	release, replaced := proxy.replica.Load().Weights[model].After(version)
	if !replaced || (!release.UnreleasedAt.IsZero() && now.Sub(release.UnreleasedAt) < proxy.bounds.ReplacedGrace) {
		return 0
	}
	return proxy.bounds.ReplacedLoss
}

// startDeadline returns the time by which a request must have begun on a version of a
// model's weights, or zero if the version is the newest.
func (proxy *Proxy) startDeadline(model string, version int64) time.Time {
	replica := proxy.replica.Load()
	release, replaced := replica.Weights[model].After(version)
	if !replaced {
		return time.Time{}
	}
	effectiveAt := release.EffectiveAt(replica.DisruptedAt)
	if !effectiveAt.IsZero() {
		return effectiveAt.Add(proxy.bounds.Weights - startMargin)
	}
	// The newer version may have been released at any time before this node started, but a
	// disruption of the store since then restarts the bound, as in minimumVersion.
	deadline := proxy.started.Add(proxy.bounds.StartupGrace - startMargin)
	if afterDisruption := replica.DisruptedAt.Add(proxy.bounds.Weights - startMargin); afterDisruption.After(deadline) {
		return afterDisruption
	}
	return deadline
}
