package controller

import "time"

// healthyStoreAge is the maximum age of the state service's last answer at which a controller is healthy regardless
// of others.
const healthyStoreAge = 3 * time.Second

// healthy returns the result of the load balancer's health check. While no controller reaches the state service, a
// controller stays healthy unless it is cut off from the network.
func (c *Controller) healthy() bool {
	now := c.loop.Now()
	isReady := c.watchCache.Synced() && len(c.machineTypes.list) > 0
	if !isReady || !c.lifecycle.isServing() || !c.rollout.Compatible() {
		return false
	}
	if now-c.store.LastSuccess() < healthyStoreAge {
		return true
	}
	anyPeerAlive, anyPeerReachesStore := c.peers.liveness(now)
	if anyPeerReachesStore {
		return false
	}
	// A controller that reaches neither the state service nor any other controller is cut off and must not receive
	// users' requests. In an outage the service answers with 503, or other controllers report that they don't reach
	// it either.
	return anyPeerAlive || len(c.settings.Peers) == 0 || now-c.store.LastResponse() < healthyStoreAge
}
