package proxy

import (
	"sync"

	"github.com/cloverrail/cloverrail/internal/catalog"
)

// splitter distributes the requests of each route over its services by smooth weighted
// round robin, which follows the weights even over few requests.
type splitter struct {
	mutex   sync.Mutex
	credits map[string]map[string]int
}

// next returns the service for the route's next request.
func (splitter *splitter) next(route *catalog.Route) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	splitter.mutex.Lock()
	defer splitter.mutex.Unlock()
	if splitter.credits == nil {
		splitter.credits = map[string]map[string]int{}
	}
	credit := splitter.credits[route.Name]
	if credit == nil {
		credit = map[string]int{}
		splitter.credits[route.Name] = credit
	}
	chosen, total := "", 0
	for _, share := range route.Split {
		if share.Weight <= 0 {
			continue
		}
		total += share.Weight
		credit[share.Service] += share.Weight
		if chosen == "" || credit[share.Service] > credit[chosen] {
			chosen = share.Service
		}
	}
	credit[chosen] -= total
	return chosen
}
