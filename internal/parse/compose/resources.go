package compose

import (
	"cmp"
	"strings"

	"forkhead/internal/parse/servicespec"
)

// The reservations of a task whose service has neither a reservation nor a limit.
const (
	defaultCores  = 0.25
	defaultMemory = 0.25 // GiB
)

// resources sets the reservations and limits of the service's tasks.
func (d *decoder) resources(s *servicespec.Service, service, deploy *value) {
	limits, reserved := d.resourceParts(deploy)
	s.LimitCores = d.cores(limits.get("cpus"), service.get("cpus"))
	s.LimitMemory = d.memory(limits.get("memory"), service.get("mem_limit"))
	s.Cores = d.cores(reserved.get("cpus"))
	s.Memory = d.memory(reserved.get("memory"), service.get("mem_reservation"))
	if s.LimitCores > 0 && s.Cores > s.LimitCores {
		d.errorf(reserved.get("cpus").pos, "service %q reserves %g cores over its limit of %g", s.Name, s.Cores, s.LimitCores)
	}
	if s.LimitMemory > 0 && s.Memory > s.LimitMemory {
		d.errorf(service.pos, "service %q reserves more memory than its limit", s.Name)
	}
	s.Cores = cmp.Or(s.Cores, s.LimitCores, defaultCores)
	s.Memory = cmp.Or(s.Memory, s.LimitMemory, defaultMemory)
}

// resourceParts returns the mappings under the keys limits and reservations in deploy.resources, and checks their keys.
// A mapping that is missing is nil.
func (d *decoder) resourceParts(deploy *value) (limits, reserved *value) {
	resources := d.ofKind(deploy.get("resources"), mapping, "resources")
	if resources == nil {
		return nil, nil
	}
	d.checkKeys(resources, "resources", "limits", "reservations")
	limits = d.ofKind(resources.get("limits"), mapping, "limits")
	reserved = d.ofKind(resources.get("reservations"), mapping, "reservations")
	d.checkDeployElements(limits, "resources.limits.")
	d.checkDeployElements(reserved, "resources.reservations.")
	return limits, reserved
}

func (d *decoder) checkDeployElements(v *value, prefix string) {
	if v != nil {
		d.checkElements(v, deployIndex, prefix, strings.TrimSuffix(prefix, "."))
	}
}

// cores returns the number of cores in the first of the values that is not empty, or 0 if all are empty.
func (d *decoder) cores(alternatives ...*value) float64 {
	if v := firstNonEmpty(alternatives); v != nil {
		return d.number(v, "cpus", 0.001, 1e5)
	}
	return 0
}

// memory returns the amount of memory, in GiB, in the first of the values that is not empty, or 0 if all are empty.
func (d *decoder) memory(alternatives ...*value) float64 {
	if v := firstNonEmpty(alternatives); v != nil {
		return d.bytes(v, "memory")
	}
	return 0
}

func firstNonEmpty(alternatives []*value) *value {
	for _, v := range alternatives {
		if !v.isEmpty() {
			return v
		}
	}
	return nil
}
