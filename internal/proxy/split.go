package proxy

import (
	"sync"

	"github.com/cloverrail/cloverrail/internal/catalog"
)

// splitter distributes the requests of each route over its services by smooth weighted
// round robin, which follows the weights even over few requests.
type splits struct {
	mutex  sync.Mutex
	routes map[string]map[string]int
}

// next returns the service for the route's next request.
func (splits *splits) choose(route *catalog.Route) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	splits.mutex.Lock()
	defer splits.mutex.Unlock()
	if splits.routes == nil {
		splits.routes = map[string]map[string]int{}
	}
	credit := splits.routes[route.Name]
	if credit == nil {
		credit = map[string]int{}
		splits.routes[route.Name] = credit
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
