package compose

// treatment says what the parser does with an element of a file.
type treatment uint8

const (
	honored treatment = iota // the element affects placement, restarts or updates
	passed                   // the element is passed to the host in the task's payload and takes effect there
	noted                    // the element has no effect in a cluster of hosts; a note reports this
	refused                  // the element cannot be honored; the parser reports an error
)

// String returns the word for the treatment in docs/compose.md.
func (t treatment) String() string {
	//nolint:misspell // the page is published with this spelling
	return [...]string{"honoured", "passed to the host", "noted", "refused"}[t]
}

// element is a row of the tables in docs/compose.md. The decoder checks keys against the same rows, and a test compares them
// with the page.
type element struct {
	name      string
	treatment treatment
	remark    string
}

// topElements has the elements at the top level of a file.
var topElements = []element{
	{"name", honored, "the project's name; `--project` and `?project=` come before it"},
	{"services", honored, ""},
	{"version", noted, "obsolete by the specification"},
	{"networks", passed, "each service's payload carries those it names"},
	{"volumes", passed, "each service's payload carries those it names"},
	{"configs", passed, "each service's payload carries those it names"},
	{"secrets", passed, "each service's payload carries those it names"},
	{"models", refused, "no host offers models"},
	{"include", refused, "give the files together: `submit A B`"},
}

// serviceElements has the elements of a service.
var serviceElements = []element{
	{"annotations", passed, ""},
	{"attach", noted, "concerns a terminal"},
	{"blkio_config", passed, ""},
	{"build", noted, "images are built elsewhere; `image` says what runs"},
	{"cap_add", passed, ""},
	{"cap_drop", passed, ""},
	{"cgroup", passed, ""},
	{"cgroup_parent", passed, ""},
	{"command", passed, ""},
	{"configs", passed, ""},
	{"container_name", honored, "the service can then have one task only"},
	{"cpu_count", passed, ""},
	{"cpu_percent", passed, ""},
	{"cpu_period", passed, ""},
	{"cpu_quota", passed, ""},
	{"cpu_rt_period", passed, ""},
	{"cpu_rt_runtime", passed, ""},
	{"cpu_shares", passed, ""},
	{"cpus", honored, "as `deploy.resources.limits.cpus`"},
	{"cpuset", passed, ""},
	{"credential_spec", passed, ""},
	{"depends_on", honored, "`service_healthy` is reached when the tasks run: hosts report no more; `restart: true` is noted, not acted on"},
	{"deploy", honored, "see below"},
	{"develop", noted, "concerns a developer's machine"},
	{"device_cgroup_rules", passed, ""},
	{"devices", passed, ""},
	{"dns", passed, ""},
	{"dns_opt", passed, ""},
	{"dns_search", passed, ""},
	{"domainname", passed, ""},
	{"driver_opts", passed, ""},
	{"entrypoint", passed, ""},
	{"env_file", honored, "files given with the submission are read into `environment`"},
	{"environment", passed, "a name without a value takes that of the variable"},
	{"expose", passed, ""},
	{"extends", honored, "from the same file, or a file given with the submission"},
	{"external_links", passed, ""},
	{"extra_hosts", passed, ""},
	{"gpus", refused, "no kind of host offers them"},
	{"group_add", passed, ""},
	{"healthcheck", passed, ""},
	{"hostname", passed, ""},
	{"image", passed, ""},
	{"init", passed, ""},
	{"ipc", honored, "`service:NAME` is refused, all else is passed to the host"},
	{"isolation", passed, ""},
	{"label_file", honored, "files given with the submission are read into `labels`"},
	{"labels", passed, "of the task"},
	{"links", passed, ""},
	{"logging", passed, ""},
	{"mac_address", passed, ""},
	{"mem_limit", honored, "as `deploy.resources.limits.memory`"},
	{"mem_reservation", honored, "as `deploy.resources.reservations.memory`"},
	{"mem_swappiness", passed, ""},
	{"memswap_limit", passed, ""},
	{"models", refused, "no host offers models"},
	{"network_mode", honored, "`service:NAME` and `container:NAME` are refused, all else is passed to the host"},
	{"networks", passed, ""},
	{"oom_kill_disable", passed, ""},
	{"oom_score_adj", passed, ""},
	{"pid", honored, "`service:NAME` and `container:NAME` are refused, all else is passed to the host"},
	{"pids_limit", passed, ""},
	{"platform", honored, "as constraints on `node.platform.os` and `node.platform.arch`"},
	{"ports", honored, "`mode: host` with a published port: one task a host; all else is passed to the host"},
	{"post_start", passed, ""},
	{"pre_stop", passed, ""},
	{"privileged", passed, ""},
	{"profiles", honored, ""},
	{"provider", refused, "no provider can be started here"},
	{"pull_policy", passed, ""},
	{"read_only", passed, ""},
	{"restart", honored, "where `deploy.restart_policy` says nothing"},
	{"runtime", passed, ""},
	{"scale", honored, "must agree with `deploy.replicas`"},
	{"secrets", passed, ""},
	{"security_opt", passed, ""},
	{"shm_size", passed, ""},
	{"stdin_open", passed, ""},
	{"stop_grace_period", honored, "given to the host with a stop"},
	{"stop_signal", passed, ""},
	{"storage_opt", passed, ""},
	{"sysctls", passed, ""},
	{"tmpfs", passed, ""},
	{"tty", passed, ""},
	{"ulimits", passed, ""},
	{"use_api_socket", refused, "a task gets no access to the engine of its host"},
	{"user", passed, ""},
	{"userns_mode", passed, ""},
	{"uts", passed, ""},
	{"volumes", passed, ""},
	{"volumes_from", refused, "would tie two services to one host"},
	{"working_dir", passed, ""},
}

// deployElements has the elements of deploy. Nested elements are named by their paths, such as resources.limits.cpus.
var deployElements = []element{
	{"endpoint_mode", passed, ""},
	{"labels", passed, "of the service, as `service_labels`"},
	{"mode", honored, "`global` follows the hosts that are ready when it is submitted"},
	{"placement.constraints", honored, "`node.id`, `node.hostname`, `node.role`, `node.platform.os`, `node.platform.arch`, `node.labels.*`; `engine.labels.*` is refused"},
	{"placement.preferences", honored, "`spread` over `node.labels.zone` or `node.labels.rack`: a limit at the first placement request, dropped when it cannot be met"},
	{"placement.max_replicas_per_node", honored, "a limit that is never exceeded"},
	{"replicas", honored, "default 1"},
	{"resources.limits.cpus", honored, "passed to the host; reserved too where nothing else is"},
	{"resources.limits.memory", honored, "passed to the host; reserved too where nothing else is"},
	{"resources.limits.pids", passed, ""},
	{"resources.reservations.cpus", honored, "what placing goes by; default the limit, else 0.25"},
	{"resources.reservations.memory", honored, "what placing goes by; default the limit, else 256 MiB"},
	{"resources.reservations.devices", refused, "no kind of host offers them"},
	{"resources.reservations.generic_resources", refused, "no kind of host offers them"},
	{"restart_policy", honored, "`condition`, `delay`, `max_attempts`, `window`"},
	{"rollback_config", passed, "an update that fails goes back all at once"},
	{"update_config", honored, "`parallelism`, `delay`, `failure_action`, `monitor`, `max_failure_ratio`, `order`"},
}

// extensionElements has the elements of x-forkhead.
var extensionElements = []element{
	{"class", honored, "a class of the settings; default the settings' `default-class`"},
	{"tenant", honored, "a tenant of the settings; default none"},
	{"life", honored, "how long a task runs, roughly"},
	{"wait", honored, "a placement request is abandoned after this; default the class's"},
	{"patience", honored, "the task is requested again for so long; default the class's"},
	{"near", honored, "`SERVICE: machine`, `rack` or `zone`: its tasks go only where a task of that service is placed, and wait for it"},
	{"whole", honored, "at the top level only: a specification that is proven not to fit as a whole is rejected with its conflict"},
	{"spread", honored, "`machine`, `rack`, `zone`: the most tasks of the service in one; the class's limit holds beside it"},
}

// indexByName returns the rows of a table by name.
func indexByName(elements []element) map[string]element {
	m := make(map[string]element, len(elements))
	for _, e := range elements {
		m[e.name] = e
	}
	return m
}

var (
	topIndex       = indexByName(topElements)
	serviceIndex   = indexByName(serviceElements)
	deployIndex    = indexByName(deployElements)
	extensionIndex = indexByName(extensionElements)
)

// ElementTable returns the tables of elements that docs/compose.md contains, in Markdown.
func ElementTable() string {
	out := ""
	for _, table := range []struct {
		title, prefix string
		rows          []element
	}{
		{"Top level", "", topElements},
		{"Services", "services.*.", serviceElements},
		{"Deploy", "services.*.deploy.", deployElements},
		{"x-forkhead", "x-forkhead.", extensionElements},
	} {
		out += "\n## " + table.title + "\n\n| element | treatment | remark |\n| --- | --- | --- |\n"
		for _, e := range table.rows {
			out += "| `" + table.prefix + e.name + "` | " + e.treatment.String() + " | " + e.remark + " |\n"
		}
	}
	return out
}
