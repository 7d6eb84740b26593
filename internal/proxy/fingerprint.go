package proxy

import "github.com/cloverrail/cloverrail/internal/quarantine"

// fingerprint is the same for all tries of the request.
func (admitted *admitted) fingerprint() quarantine.Fingerprint {
	request := admitted.request
	identity := quarantine.Identity{Method: request.Method, Host: request.Host, Target: request.Target, Body: request.Body}
	if admitted.tenant != nil {
		identity.Caller = admitted.tenant.Name
	}
	return identity.Fingerprint()
}
