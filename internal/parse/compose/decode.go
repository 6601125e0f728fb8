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
	maxNotes    = 1_000   // number of notes; further notes are dropped

	maxTaskTime = 24 * time.Hour // longest duration in the settings for stop, restart and update
)

var serviceName = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,127}$`)

// decoder decodes a merged tree into a description. Its methods add faults to errs and continue.
type decoder struct {
	in           *Input
	errs         *diagnostic.List
	out          *servicespec.Description
	top          *value // root of the merged tree
	topExtension *value // value of x-forkhead at the top level, or nil
}

// errorf adds an error at a position.
func (d *decoder) errorf(pos diagnostic.Pos, format string, args ...any) {
	d.errs.Add(diagnostic.Errorf(pos, format, args...))
}

// wantf adds an error at a position. The parameter want says what would be valid there.
func (d *decoder) wantf(pos diagnostic.Pos, want, format string, args ...any) {
	d.errs.Add(diagnostic.Wantf(pos, want, format, args...))
}

// addNote adds a note at a position, unless there are maxNotes notes already.
func (d *decoder) addNote(pos diagnostic.Pos, text string) {
	if len(d.out.Notes) < maxNotes {
		d.out.Notes = append(d.out.Notes, servicespec.Note{Pos: pos, Text: text})
	}
}

// ofKind returns v if the value has the kind k. For an absent or null value it returns nil. For a value of another kind
// it adds an error and returns nil. The parameter name is what the error calls the value.
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

// checkElements looks up each key of a mapping, with prefix put before it, in a table of elements. It adds an error for
// each key that is unknown or refused, and a note for each key that is noted. It skips extension keys. The parameter
// where is what errors call the mapping.
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

// addUnknown adds an error for an unknown key. The error proposes the name in the table that is closest to the key.
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

// checkKeys adds an error for each key of a mapping that is neither in the parameter keys nor an extension key. The
// parameter where is what errors call the mapping.
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

// isActive reports whether a service is active: its name or one of its profiles is requested, or it has no profile.
func (d *decoder) isActive(name string, service *value) bool {
	if slices.Contains(d.in.Services, name) {
		return true
	}
	profiles := d.texts(service.get("profiles"), "profiles")
	return len(profiles) == 0 || slices.ContainsFunc(profiles, func(profile string) bool {
		return slices.Contains(d.in.Profiles, profile) || slices.Contains(d.in.Profiles, "*")
	})
}

// service decodes one service. The parameter inactive has the names of the services that are left out because none of
// their profiles is active.
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
