package compose

import (
	"slices"
	"strings"
	"time"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/servicespec"
)

const (
	extensionPrefix = "x-" // keys with it are extensions, by the Compose Specification
	extensionKey    = "x-forkhead"

	maxExtensionTime = 365 * 24 * time.Hour // of the durations in x-forkhead
)

// extension returns x-forkhead of a mapping, checked for unknown keys; nil if there is none. where names the mapping in errors.
func (d *decoder) extension(v *value, where string) *value {
	for _, key := range v.keys {
		isMisspelled := key != extensionKey && diagnostic.Nearest(key, []string{extensionKey}) != ""
		if isMisspelled && strings.HasPrefix(key, extensionPrefix) {
			d.addNote(v.keyPos[key], key+" is passed over; x-forkhead is the extension read here")
		}
	}
	ext := d.ofKind(v.get(extensionKey), mapping, extensionKey)
	if ext != nil {
		d.checkElements(ext, extensionIndex, "", "x-forkhead of "+where)
	}
	return ext
}

// extensionFields sets what an x-forkhead says; nil says nothing.
func (d *decoder) extensionFields(s *servicespec.Service, ext *value) {
	if ext == nil {
		return
	}
	if class := d.nameFromSettings(ext, "class", d.in.Classes); class != "" {
		s.Class = class
	}
	if tenant := d.nameFromSettings(ext, "tenant", d.in.Tenants); tenant != "" {
		s.Tenant = tenant
	}
	d.durationField(&s.ExpectedRuntime, ext, "life", time.Millisecond, maxExtensionTime)
	d.durationField(&s.RequestTimeout, ext, "wait", time.Millisecond, maxExtensionTime)
	d.durationField(&s.PlacementTimeout, ext, "patience", time.Millisecond, maxExtensionTime)
	d.near(s, ext)
	d.spread(s, ext)
}

// nameFromSettings returns a name that the settings must know; "" if none is given.
func (d *decoder) nameFromSettings(ext *value, key string, known []string) string {
	name := d.ofKind(ext.get(key), scalar, key)
	if name == nil {
		return ""
	}
	if !slices.Contains(known, name.text) {
		d.wantf(name.pos, strings.Join(known, ", "), "%s %q is not in the settings", key, name.text)
	}
	return name.text
}

// near sets the services that the service's tasks have to be beside.
func (d *decoder) near(s *servicespec.Service, ext *value) {
	near := d.ofKind(ext.get("near"), mapping, "near")
	if near == nil {
		return
	}
	for _, name := range near.keys {
		domain := d.ofKind(near.fields[name], scalar, "near")
		switch {
		case domain == nil:
		case !slices.Contains([]string{"machine", "rack", "zone"}, domain.text):
			d.wantf(domain.pos, "machine, rack or zone", "near %s is %q", name, domain.text)
		default:
			s.Near = append(s.Near, servicespec.Near{Service: name, Domain: domain.text, Pos: near.keyPos[name]})
		}
	}
}

// spread sets the limits in each domain, in place of those that the top level sets.
func (d *decoder) spread(s *servicespec.Service, ext *value) {
	spread := d.ofKind(ext.get("spread"), mapping, "spread")
	if spread == nil {
		return
	}
	d.checkKeys(spread, "spread", "machine", "rack", "zone")
	s.SpreadLimits = nil
	for _, domain := range spread.keys {
		if n, ok := d.integer(spread.fields[domain], domain, 1, maxReplicas); ok {
			s.SpreadLimits = append(s.SpreadLimits, servicespec.SpreadLimit{Domain: domain, MaxTasks: n, Pos: spread.keyPos[domain]})
		}
	}
}
