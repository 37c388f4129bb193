package routing

import (
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
)

// router sends the calls of one process to nodes.
type router struct {
	process     *kernel.Process
	transmitter *kernel.Transmitter
	// What nodes have reported of their back ends.
	memory instance.Memory
	mutex  sync.RWMutex
	// Balancers by service.
	balancers map[string]*balance.Balancer
}

// update updates the balancers with the nodes of the mesh. It runs on the control loop.
func (r *router) update(_ time.Time, members []membership.Member) {
	targets := map[string][]balance.Target{}
	callers := len(kernel.LiveIDs(members))
	for _, member := range members {
		if member.Service == "" || member.Traffic == "" {
			continue
		}
		if member.Status == membership.Dead || member.Down {
			continue
		}
		targets[member.Service] = append(targets[member.Service], balance.Target{
			ID:        member.ID,
			Address:   member.Traffic,
			Region:    member.Region,
			Zone:      member.Zone,
			Suspect:   member.Status == membership.Suspect,
			Leaving:   member.Leaving,
			RateLimit: member.RateLimit,
			Callers:   callers,
		})
	}
	r.mutex.Lock()
	for service := range targets {
		if _, exists := r.balancers[service]; !exists {
			r.balancers[service] = r.newBalancer(service)
		}
	}
	balancers := make(map[string]*balance.Balancer, len(r.balancers))
	for service, balancer := range r.balancers {
		balancers[service] = balancer
	}
	r.mutex.Unlock()
	for service, balancer := range balancers {
		// Balancers measure latencies, so they use the monotonic clock, not that of the control loop.
		balancer.Update(time.Now(), targets[service])
	}
}

func (r *router) newBalancer(service string) *balance.Balancer {
	return balance.New(balance.Config{
		Region: r.process.Settings.Region,
		Zone:   r.process.Settings.Zone,
		OnEject: func(target balance.Target, ejected bool) {
			number := event.NodeRestored
			if ejected {
				number = event.NodeEjected
			}
			r.process.Log.Emit(number, "service", service, "node", target.ID)
		},
	})
}

func (r *router) balancer(service string) *balance.Balancer {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.balancers[service]
}
