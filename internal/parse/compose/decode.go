package compose

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/servicespec"
)

// The limits of one description.
const (
	maxServices = 5_000
	maxReplicas = 100_000 // tasks of one service
	maxNotes    = 1_000   // further ones are dropped

	maxTaskTime = 24 * time.Hour // longest duration in the settings for stop, restart and update
)

var serviceName = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,127}$`)

// decoder decodes a merged tree into a description. Its methods add faults to errs and continue.
type decoder struct {
	in           *Input
	errs         *diagnostic.List
	out          *servicespec.Description
	top          *value // the tree
	topExtension *value // x-forkhead of the top level, or nil
}

// errorf adds an error at a position.
func (d *decoder) errorf(pos diagnostic.Pos, format string, args ...any) {
	d.errs.Add(diagnostic.Errorf(pos, format, args...))
}

// wantf adds an error at a position that also says what would be valid.
func (d *decoder) wantf(pos diagnostic.Pos, want, format string, args ...any) {
	d.errs.Add(diagnostic.Wantf(pos, want, format, args...))
}

// addNote adds a note at a position, unless there are maxNotes.
func (d *decoder) addNote(pos diagnostic.Pos, text string) {
	if len(d.out.Notes) < maxNotes {
		d.out.Notes = append(d.out.Notes, servicespec.Note{Pos: pos, Text: text})
	}
}

// ofKind returns v if it has the kind k. It returns nil for an absent or null value, and adds an error and returns nil for a
// value of another kind. name names the value in the error.
func (d *decoder) ofKind(v *value, k kind, name string) *value {
	if v.isEmpty() {
		return nil
	}
	if v.kind != k {
		d.wantf(v.pos, k.String(), "%s is %s", name, v.kind)
		return nil
	}
	return v
}

// checkElements checks the keys of a mapping, with prefix before them, against the elements of a table. It adds an error for
// each that is unknown or refused and a note for each that is noted. Extension keys are skipped. where names the mapping in
// errors.
func (d *decoder) checkElements(v *value, table map[string]element, prefix, where string) {
	for _, key := range v.keys {
		if strings.HasPrefix(key, extensionPrefix) {
			continue
		}
		e, ok := table[prefix+key]
		switch {
		case !ok:
			d.addUnknown(v, key, where, table, prefix)
		case e.treatment == refused:
			d.errorf(v.keyPos[key], "%s is refused: %s", key, e.remark)
		case e.treatment == noted:
			d.addNote(v.keyPos[key], key+" has no effect here: "+e.remark)
		}
	}
}

// addUnknown adds an error for an unknown key, with the closest name in the table.
func (d *decoder) addUnknown(v *value, key, where string, table map[string]element, prefix string) {
	var names []string
	for element := range table {
		if name, ok := strings.CutPrefix(element, prefix); ok && !strings.Contains(name, ".") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	d.wantf(v.keyPos[key], diagnostic.Nearest(key, names), "unknown element %q in %s", key, where)
}

// checkKeys adds an error for each key of a mapping that is neither in keys nor an extension.
func (d *decoder) checkKeys(v *value, where string, keys ...string) {
	for _, key := range v.keys {
		if !strings.HasPrefix(key, extensionPrefix) && !slices.Contains(keys, key) {
			d.wantf(v.keyPos[key], strings.Join(keys, ", "), "unknown element %q in %s", key, where)
		}
	}
}

// project decodes the whole tree.
func (d *decoder) project(tree *value) {
	d.top = tree
	d.checkElements(tree, topIndex, "", "the file")
	d.topExtension = d.extension(tree, "the file")
	if whole := d.topExtension.get("whole"); whole != nil {
		d.out.AllOrNothing = d.boolean(whole, "whole")
	}
	d.out.Name = d.in.Project
	if name := d.ofKind(tree.get("name"), scalar, "name"); name != nil && d.out.Name == "" {
		if !projectName.MatchString(name.text) {
			d.wantf(name.pos, wantProjectName, "name %q", name.text)
		}
		d.out.Name = name.text
	}
	services := d.ofKind(tree.get("services"), mapping, "services")
	if services == nil || len(services.keys) == 0 {
		d.wantf(tree.pos, "at least one service", "the file describes no services")
		return
	}
	if len(services.keys) > maxServices {
		d.wantf(services.pos, "at most 5000", "there are %d services", len(services.keys))
		return
	}
	d.services(services)
}

// services decodes the active services.
func (d *decoder) services(services *value) {
	inactive := map[string]bool{}
	for _, name := range services.keys {
		if !d.isActive(name, services.fields[name]) {
			inactive[name] = true
		}
	}
	for _, name := range services.keys {
		if inactive[name] {
			continue
		}
		pos, v := services.keyPos[name], services.fields[name]
		switch {
		case !serviceName.MatchString(name):
			d.wantf(pos, "letters, digits, '.', - and _, at most 128", "service name %q", name)
		case v.kind != mapping:
			d.wantf(v.pos, "a mapping", "service %q is %s", name, v.kind)
		default:
			d.out.Services = append(d.out.Services, d.service(name, pos, v, inactive))
		}
	}
	if len(d.out.Services) == 0 {
		d.wantf(services.pos, "--profile NAME", "every service has a profile, and none of them is active")
	}
}

// isActive reports whether the service or one of its profiles is requested, or the service has no profile.
func (d *decoder) isActive(name string, service *value) bool {
	if slices.Contains(d.in.Services, name) {
		return true
	}
	profiles := d.texts(service.get("profiles"), "profiles")
	return len(profiles) == 0 || slices.ContainsFunc(profiles, func(profile string) bool {
		return slices.Contains(d.in.Profiles, profile) || slices.Contains(d.in.Profiles, "*")
	})
}

// service decodes one service. inactive has the services that are left out for lack of an active profile.
func (d *decoder) service(name string, pos diagnostic.Pos, v *value, inactive map[string]bool) servicespec.Service {
	s := servicespec.Service{
		Name: name, Pos: pos, Replicas: 1,
		Update: servicespec.Update{Parallel: 1, FailureAction: servicespec.Pause},
	}
	where := "service " + strconv.Quote(name)
	d.checkElements(v, serviceIndex, "", where)
	d.extensionFields(&s, d.topExtension)
	ext := d.extension(v, where)
	if whole := ext.get("whole"); whole != nil {
		d.wantf(whole.pos, "it at the top level", "whole applies to all services together")
	}
	d.extensionFields(&s, ext)
	deploy := d.ofKind(v.get("deploy"), mapping, "deploy")
	d.resources(&s, v, deploy)
	d.replicas(&s, v, deploy)
	d.placement(&s, v, deploy)
	d.restart(&s, v, deploy)
	d.update(&s, deploy)
	d.dependsOn(&s, v, inactive)
	dependOnNear(&s)
	d.rejectSharedNamespaces(v)
	d.durationField(&s.StopGrace, v, "stop_grace_period", 0, maxTaskTime)
	if deploy != nil {
		s.Labels = d.pairs(deploy.get("labels"), "deploy.labels")
	}
	s.Payload = d.payload(&s, v, deploy)
	return s
}
