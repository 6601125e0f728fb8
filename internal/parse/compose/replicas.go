package compose

import "forkhead/internal/parse/servicespec"

// modes maps the texts of the field mode in deploy to modes.
var modes = map[string]servicespec.Mode{
	"replicated": servicespec.Replicated, "global": servicespec.Global,
	"replicated-job": servicespec.ReplicatedJob, "global-job": servicespec.GlobalJob,
}

// replicas sets the mode and the number of tasks of s. service is the mapping of the service, and deploy is the value
// of its element deploy, or nil.
func (d *decoder) replicas(s *servicespec.Service, service, deploy *value) {
	choiceField(d, &s.Mode, deploy, "mode", modes, "replicated, global, replicated-job, global-job")
	replicas := deploy.get("replicas")
	if replicas != nil {
		if n, ok := d.integer(replicas, "replicas", 0, maxReplicas); ok {
			s.Replicas = n
		}
		if s.Mode.PerHost() {
			d.errorf(replicas.pos, "replicas and mode %s exclude each other", deploy.get("mode").text)
		}
	}
	if scale := service.get("scale"); scale != nil {
		n, ok := d.integer(scale, "scale", 0, maxReplicas)
		if ok && replicas != nil && n != s.Replicas {
			d.errorf(scale.pos, "scale is %d and deploy.replicas %d", n, s.Replicas)
		}
		if ok {
			s.Replicas = n
		}
	}
	if name := service.get("container_name"); name != nil && (s.Replicas > 1 || s.Mode.PerHost()) {
		d.errorf(name.pos, "container_name allows one task, and service %q asks for more", s.Name)
	}
	if s.Mode.PerHost() {
		s.SpreadLimits = append(s.SpreadLimits, servicespec.SpreadLimit{Domain: "machine", MaxTasks: 1, Pos: deploy.get("mode").pos})
	}
}
