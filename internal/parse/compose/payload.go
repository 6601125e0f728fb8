package compose

import (
	"encoding/json"
	"maps"
	"strings"

	"forkhead/internal/parse/servicespec"
)

const (
	maxPayload = 32 << 10 // bytes of the JSON that is passed to hosts for one service
	gibibyte   = 1 << 30  // bytes
)

// alsoPassed has the elements of a service that the parser uses itself and that are passed to the host as well.
var alsoPassed = map[string]bool{
	"ipc": true, "pid": true, "network_mode": true, "ports": true, "container_name": true, "platform": true,
}

// payload returns the JSON object that is passed to the host with each task, or nil if the object is too large, which
// is an error. v is the mapping of the service, and deploy is the value of its element deploy, or nil.
func (d *decoder) payload(s *servicespec.Service, v, deploy *value) []byte {
	out := passedElements(v)
	addIfAny(out, "limits", payloadLimits(s))
	addIfAny(out, "service_labels", s.Labels)
	addIfAny(out, "environment", d.withFiles(d.pairs(v.get("environment"), "environment"), v, "env_file", "environment file"))
	addIfAny(out, "labels", d.withFiles(d.pairs(v.get("labels"), "labels"), v, "label_file", "label file"))
	if mode := deploy.get("endpoint_mode"); mode != nil {
		out["endpoint_mode"] = toJSON(mode)
	}
	if pids := deploy.get("resources").get("limits").get("pids"); pids != nil {
		out["pids"] = toJSON(pids)
	}
	for _, section := range []string{"networks", "volumes", "configs", "secrets"} {
		addIfAny(out, "project_"+section, d.usedDefinitions(v, section))
	}
	data, err := json.Marshal(out)
	if err != nil {
		d.errorf(v.pos, "the payload of service %q cannot be encoded: %v", s.Name, err)
	}
	if len(data) > maxPayload {
		d.wantf(v.pos, "at most 32 KiB", "the payload of service %q has %d bytes", s.Name, len(data))
		return nil
	}
	return data
}

// addIfAny adds a map to a payload unless the map is empty.
func addIfAny[V any](payload map[string]any, key string, m map[string]V) {
	if len(m) > 0 {
		payload[key] = m
	}
}

// payloadLimits returns the limits of a task, in cores and bytes.
func payloadLimits(s *servicespec.Service) map[string]any {
	limits := map[string]any{}
	if s.LimitCores > 0 {
		limits["cpus"] = s.LimitCores
	}
	if s.LimitMemory > 0 {
		limits["memory_bytes"] = int64(s.LimitMemory * gibibyte)
	}
	return limits
}

// passedElements returns the elements of a service that are passed to the host unchanged.
func passedElements(service *value) map[string]any {
	out := map[string]any{}
	for _, key := range service.keys {
		e, known := serviceIndex[key]
		isExtension := strings.HasPrefix(key, extensionPrefix) && key != extensionKey
		if isExtension || known && e.treatment == passed || alsoPassed[key] {
			out[key] = toJSON(service.fields[key])
		}
	}
	return out
}

// withFiles returns the map values, extended by the pairs in the files of KEY=VALUE lines that a service refers to in
// one element. Where both have a key, the value in the map values is used. The parameter fileKind is what errors call
// such a file.
func (d *decoder) withFiles(values map[string]string, service *value, key, fileKind string) map[string]string {
	all := d.keyValueFiles(service, key, fileKind)
	maps.Copy(all, values)
	return all
}
