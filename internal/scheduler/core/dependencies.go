package core

import "forkhead/internal/parse/servicespec"

// startIfReady starts a replica if its service's dependencies are met, or abandons it if they can never be met.
func (c *Core) startIfReady(r *desiredReplica) {
	if r.state != awaitingDependencies || r.removed {
		return
	}
	met, failure := dependencyState(r.service)
	if failure != "" {
		r.rejected, r.reason = true, failure
		if r.service.failureReason == "" {
			r.service.failureReason = failure
		}
		c.abandon(r)
		return
	}
	if met {
		c.startRequesting(r)
	}
}

// startDependents starts or abandons the replicas that wait for a service, as startIfReady decides for each.
func (c *Core) startDependents(svc *service) {
	p := svc.project
	for _, other := range p.sortedServices() {
		if !p.has(other) || !other.dependsOn(svc) {
			continue
		}
		for _, r := range other.sortedReplicas() {
			c.startIfReady(r)
		}
	}
}

// hasDependents reports whether another service with replicas depends on this one, whose outcome must then be kept.
func hasDependents(svc *service) bool {
	for _, other := range svc.project.services {
		if other != svc && len(other.replicas) > 0 && other.dependsOn(svc) {
			return true
		}
	}
	return false
}

func (s *service) dependsOn(other *service) bool {
	if s.spec == nil {
		return false
	}
	for _, dependency := range s.spec.DependsOn {
		if dependency.Service == other.name {
			return true
		}
	}
	return false
}

// dependencyState reports whether a service's dependencies are met, or why they never will be. The result failure is ""
// while they may still be met.
func dependencyState(svc *service) (met bool, failure string) {
	if svc.spec == nil {
		return true, ""
	}
	met = true
	for _, dependency := range svc.spec.DependsOn {
		other := svc.project.services[dependency.Service]
		otherMet, failure := true, ", which is not here"
		if other != nil {
			otherMet, failure = other.satisfies(dependency.When)
		}
		if failure == "" {
			met = met && otherMet
		} else if !dependency.Optional {
			return false, "it depends on " + dependency.Service + failure
		}
	}
	return met, ""
}

// satisfies reports whether a service meets the condition of a dependency on it, or why it never will. The result
// failure is "" while the service may still meet the condition.
func (s *service) satisfies(condition servicespec.DependencyCondition) (met bool, failure string) {
	if s.failureReason != "" {
		return false, ", which was not placed"
	}
	met = true
	for _, r := range s.replicas {
		switch r.state {
		case finished:
			if !r.succeeded {
				return false, ", which has failed"
			}
		case placed:
			met = met && condition != servicespec.Completed
		default:
			met = false
		}
	}
	return met, ""
}
