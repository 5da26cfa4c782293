package controller

import "time"

// healthyStoreAge is how recently the state service must have answered for a controller to be healthy by itself.
const healthyStoreAge = 3 * time.Second

// healthy reports to the load balancer whether users are served well here. While the state service answers no
// controller, each is as good as any other.
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
	// A controller that reaches neither the state service nor any other controller is cut off and must not keep its
	// users. In an outage the service answers with 503, or other controllers report the same.
	return anyPeerAlive || len(c.settings.Peers) == 0 || now-c.store.LastResponse() < healthyStoreAge
}
