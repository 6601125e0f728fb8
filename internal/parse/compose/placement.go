package compose

import (
	"regexp"
	"slices"
	"strings"

	"forkhead/internal/parse/servicespec"
)

// deployKeys has the keys of deploy. The keys of the table deployElements do not suffice: for resources, for example,
// the table has only rows for nested elements, such as resources.limits.cpus.
var deployKeys = []string{
	"endpoint_mode", "labels", "mode", "placement", "replicas", "resources", "restart_policy", "rollback_config",
	"update_config",
}

// placement sets the constraints, preferences and spread limits of s. service is the mapping of the service, and deploy
// is the value of its element deploy, or nil.
func (d *decoder) placement(s *servicespec.Service, service, deploy *value) {
	d.platform(s, service)
	d.hostPorts(s, service)
	if deploy == nil {
		return
	}
	for _, key := range deploy.keys {
		if !strings.HasPrefix(key, extensionPrefix) && !slices.Contains(deployKeys, key) {
			d.addUnknown(deploy, key, "deploy", deployIndex, "")
		}
	}
	p := d.ofKind(deploy.get("placement"), mapping, "placement")
	if p == nil {
		return
	}
	d.checkElements(p, deployIndex, "placement.", "placement")
	for _, v := range d.list(p.get("constraints"), "constraints") {
		if constraint, ok := d.constraint(v); ok {
			s.Constraints = append(s.Constraints, constraint)
		}
	}
	d.preferences(s, p)
	if v := p.get("max_replicas_per_node"); v != nil {
		if n, ok := d.integer(v, "max_replicas_per_node", 0, maxReplicas); ok && n > 0 {
			s.SpreadLimits = append(s.SpreadLimits, servicespec.SpreadLimit{Domain: "machine", MaxTasks: n, Pos: v.pos})
		}
	}
}

// platform adds the constraints of a platform OS[/ARCHITECTURE[/VARIANT]]. The variant is ignored.
func (d *decoder) platform(s *servicespec.Service, service *value) {
	platform := d.ofKind(service.get("platform"), scalar, "platform")
	if platform == nil {
		return
	}
	os, arch, _ := strings.Cut(platform.text, "/")
	s.Constraints = append(s.Constraints, servicespec.Constraint{Attribute: "os", Value: os, Pos: platform.pos})
	if arch != "" {
		s.Constraints = append(s.Constraints, servicespec.Constraint{Attribute: "arch", Value: arch, Pos: platform.pos})
	}
}

// hostPorts limits a service that publishes a port of the host to one task per host, since a port can be bound only once.
func (d *decoder) hostPorts(s *servicespec.Service, service *value) {
	ports := d.ofKind(service.get("ports"), sequence, "ports")
	if ports == nil {
		return
	}
	for _, port := range ports.items {
		if mode := port.get("mode"); mode != nil && mode.text == "host" && port.get("published") != nil {
			s.SpreadLimits = append(s.SpreadLimits, servicespec.SpreadLimit{Domain: "machine", MaxTasks: 1, Pos: port.pos})
			return
		}
	}
}

// preferences adds to s.Preferences the host attributes over whose values the tasks of the service should be spread.
func (d *decoder) preferences(s *servicespec.Service, placement *value) {
	list := d.ofKind(placement.get("preferences"), sequence, "preferences")
	if list == nil {
		return
	}
	for _, item := range list.items {
		preference := d.ofKind(item, mapping, "a preference")
		if preference == nil {
			continue
		}
		d.checkKeys(preference, "a preference", "spread")
		spread := d.ofKind(preference.get("spread"), scalar, "spread")
		if spread == nil {
			continue
		}
		switch spread.text {
		case "node.labels.zone", "node.labels.rack":
			s.Preferences = append(s.Preferences, servicespec.Attribute(strings.TrimPrefix(spread.text, labelPrefix)))
		default:
			d.wantf(spread.pos, "node.labels.zone or node.labels.rack", "spread over %q", spread.text)
		}
	}
}

// labelPrefix is the prefix of host labels in constraints and preferences.
const labelPrefix = "node.labels."

// constraintForm matches ATTRIBUTE == VALUE and ATTRIBUTE != VALUE. Its groups are the attribute, the operator and the value.
var constraintForm = regexp.MustCompile(`^\s*([A-Za-z0-9._/-]+)\s*(==|!=)\s*(.*?)\s*$`)

// constraintAttributes maps names of host attributes to the attributes. The names are those that constraints in a
// Compose file use.
var constraintAttributes = map[string]servicespec.Attribute{
	"node.id": "id", "node.hostname": "hostname", "node.role": "role",
	"node.platform.os": "os", "node.platform.arch": "arch",
}

// constraint decodes one entry of the element constraints. ok is false if the entry is invalid.
func (d *decoder) constraint(v *value) (c servicespec.Constraint, ok bool) {
	groups := constraintForm.FindStringSubmatch(v.text)
	if groups == nil || groups[3] == "" {
		d.wantf(v.pos, "ATTRIBUTE == VALUE or ATTRIBUTE != VALUE", "constraint %q", v.text)
		return servicespec.Constraint{}, false
	}
	name, operator, text := groups[1], groups[2], groups[3]
	attribute, ok := constraintAttributes[name]
	if label, isLabel := strings.CutPrefix(name, labelPrefix); isLabel && label != "" {
		attribute, ok = servicespec.Attribute("label."+label), true
	}
	if !ok {
		d.wantf(v.pos, "node.id, node.hostname, node.role, node.platform.os, node.platform.arch or node.labels.NAME",
			"hosts have no attribute %q", name)
	}
	return servicespec.Constraint{Attribute: attribute, Not: operator == "!=", Value: text, Pos: v.pos}, ok
}
