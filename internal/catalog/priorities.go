package catalog

// SharesPriorities reports whether routes of different priority share a service with engines.
func (snapshot *Snapshot) SharesPriorities(service string) bool { return snapshot.mixed[service] }

// mixedServices returns the services with engines that routes of different priority share. A share
// without weight receives no requests.
func mixedServices(routes []Route, services map[string]*Service) map[string]bool {
	priorities, mixed := map[string]int{}, map[string]bool{}
	for i := range routes {
		route := &routes[i]
		for _, share := range route.Split {
			if declared := services[share.Service]; declared == nil || declared.Engine == nil {
				continue
			}
			if share.Weight <= 0 && len(route.Split) > 1 {
				continue
			}
			priority, found := priorities[share.Service]
			if found && priority != route.Priority {
				mixed[share.Service] = true
			}
			priorities[share.Service] = route.Priority
		}
	}
	return mixed
}
