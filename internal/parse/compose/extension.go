package compose

import (
	"slices"
	"strings"
	"time"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/servicespec"
)

const (
	extensionPrefix = "x-" // prefix of extension keys in the Compose Specification
	extensionKey    = "x-forkhead"

	maxExtensionTime = 365 * 24 * time.Hour // longest duration in x-forkhead
)

// extension returns the element x-forkhead of a mapping, or nil if there is none. It adds an error for each unknown key
// in the element, and a note for each other extension of the mapping whose key may be a misspelled x-forkhead. The
// parameter where is what errors call the mapping.
func (d *decoder) extension(v *value, where string) *value {
	for _, key := range v.keys {
		isMisspelled := key != extensionKey && diagnostic.Nearest(key, []string{extensionKey}) != ""
		if isMisspelled && strings.HasPrefix(key, extensionPrefix) {
			d.addNote(v.keyPos[key], key+" is ignored; the extension that is read is x-forkhead")
		}
	}
	ext := d.ofKind(v.get(extensionKey), mapping, extensionKey)
	if ext != nil {
		d.checkElements(ext, extensionIndex, "", "x-forkhead of "+where)
	}
	return ext
}

// extensionFields sets fields of s from ext, which is the value of an element x-forkhead, or nil. A field that has no
// value in ext is unchanged.
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

// nameFromSettings returns the name in one field of ext, or "" if ext does not have the field. The parameter known
// lists the valid names; any other name is an error.
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

// near decodes the element near: other services, each with a domain (machine, rack or zone) that the tasks of s must
// share with a task of that service.
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

// spread sets the spread limits of a service. They replace the limits that x-forkhead at the top level has set.
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
