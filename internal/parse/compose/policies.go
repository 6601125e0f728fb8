package compose

import (
	"strconv"
	"strings"

	"forkhead/internal/parse/servicespec"
)

// restartConditions maps the texts of the field condition in restart_policy to conditions.
var restartConditions = map[string]servicespec.RestartCondition{
	"any": servicespec.Always, "on-failure": servicespec.OnFailure, "none": servicespec.Never,
}

// restart sets the restart policy. Fields of deploy.restart_policy override the element restart of the service.
func (d *decoder) restart(s *servicespec.Service, service, deploy *value) {
	if s.Mode.Job() {
		s.Restart.When = servicespec.OnFailure
	}
	if v := d.ofKind(service.get("restart"), scalar, "restart"); v != nil {
		d.shortRestart(&s.Restart, v)
	}
	if policy := d.ofKind(deploy.get("restart_policy"), mapping, "restart_policy"); policy != nil {
		d.restartPolicy(&s.Restart, policy)
	}
}

// shortRestart decodes the element restart of a service. The element is a condition, or on-failure:N with N as the
// maximum number of restarts.
func (d *decoder) shortRestart(r *servicespec.Restart, v *value) {
	condition, count, hasCount := strings.Cut(v.text, ":")
	switch condition {
	case "no":
		r.When = servicespec.Never
	case "always", "unless-stopped":
		r.When = servicespec.Always
	case "on-failure":
		r.When = servicespec.OnFailure
	default:
		d.wantf(v.pos, `"no", always, on-failure, on-failure:N or unless-stopped`, "restart %q", v.text)
	}
	if !hasCount {
		return
	}
	n, err := strconv.Atoi(count)
	if err != nil || n < 0 || condition != "on-failure" {
		d.wantf(v.pos, "on-failure:N", "restart %q", v.text)
	}
	r.MaxRestarts = n
}

// restartPolicy decodes the fields of deploy.restart_policy.
func (d *decoder) restartPolicy(r *servicespec.Restart, policy *value) {
	d.checkKeys(policy, "restart_policy", "condition", "delay", "max_attempts", "window")
	choiceField(d, &r.When, policy, "condition", restartConditions, "any, on-failure or none")
	d.durationField(&r.Delay, policy, "delay", 0, maxTaskTime)
	if v := policy.get("max_attempts"); v != nil {
		r.MaxRestarts, _ = d.integer(v, "max_attempts", 0, 1e6)
	}
	d.durationField(&r.Window, policy, "window", 0, maxTaskTime)
}

// failureActions maps the texts of the field failure_action in update_config to actions.
var failureActions = map[string]servicespec.FailureAction{
	"pause": servicespec.Pause, "continue": servicespec.Continue, "rollback": servicespec.Rollback,
}

// updateKeys has the keys of update_config and rollback_config.
var updateKeys = []string{"parallelism", "delay", "failure_action", "monitor", "max_failure_ratio", "order"}

// update sets how running tasks are replaced after a change of the service. It checks the keys of rollback_config but
// does not use their values.
func (d *decoder) update(s *servicespec.Service, deploy *value) {
	config := d.ofKind(deploy.get("update_config"), mapping, "update_config")
	if rollback := d.ofKind(deploy.get("rollback_config"), mapping, "rollback_config"); rollback != nil {
		d.checkKeys(rollback, "rollback_config", updateKeys...)
	}
	if config == nil {
		return
	}
	d.checkKeys(config, "update_config", updateKeys...)
	u := &s.Update
	if v := config.get("parallelism"); v != nil {
		u.Parallel, _ = d.integer(v, "parallelism", 0, maxReplicas)
	}
	d.durationField(&u.Delay, config, "delay", 0, maxTaskTime)
	d.durationField(&u.Monitor, config, "monitor", 0, maxTaskTime)
	if v := config.get("max_failure_ratio"); v != nil {
		u.MaxFailureRatio = d.number(v, "max_failure_ratio", 0, 1)
	}
	choiceField(d, &u.FailureAction, config, "failure_action", failureActions, "pause, continue or rollback")
	if order := d.ofKind(config.get("order"), scalar, "order"); order != nil {
		if order.text != "stop-first" && order.text != "start-first" {
			d.wantf(order.pos, "stop-first or start-first", "order %q", order.text)
		}
		u.StartFirst = order.text == "start-first"
	}
}
