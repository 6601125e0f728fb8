package compose

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/verify/doccheck"
)

// newInput returns the input of one file a.yaml, with the classes web and batch and the tenant courts.
func newInput(text string) *Input {
	return &Input{Files: []File{{Name: "a.yaml", Text: text}}, Classes: []string{"web", "batch"}, Tenants: []string{"courts"}}
}

// mustParse parses an input. An error fails the test.
func mustParse(t *testing.T, in *Input) *servicespec.Description {
	t.Helper()
	d, err := Parse(in)
	if err != nil {
		t.Fatalf("Parse(%+v) = error %v, want none", in, err)
	}
	return d
}

func TestParseDecodesHonoredElements(t *testing.T) {
	d := mustParse(t, newInput(`
name: calendar
x-forkhead: {tenant: courts}
services:
  batch:
    image: batch:${TAG:-3}
    platform: linux/arm64
    x-forkhead: {class: batch, life: 30s, wait: 2s, patience: 1m, spread: {rack: 2}}
    stop_grace_period: 1m30s
    deploy:
      mode: replicated
      replicas: 4
      labels: [a=1, b]
      resources:
        limits: {cpus: "8", memory: 2g}
        reservations: {cpus: "6", memory: 512m}
      placement:
        constraints: ["node.labels.disk == ssd", "node.hostname!=h9"]
        preferences: [{spread: node.labels.zone}]
        max_replicas_per_node: 1
      restart_policy: {condition: on-failure, delay: 5s, max_attempts: 3, window: 120s}
      update_config: {parallelism: 2, delay: 10s, failure_action: rollback, monitor: 5s, max_failure_ratio: 0.5, order: start-first}
    depends_on:
      db: {condition: service_healthy, restart: true}
  db: {image: db, mem_reservation: 1gb, cpus: 2, restart: unless-stopped}
`))
	want := &servicespec.Description{Name: "calendar", Notes: []servicespec.Note{
		{Text: "restart of batch with db is not acted on: submit the project again to replace both"},
	}, Services: []servicespec.Service{
		{
			Name: "batch", Class: "batch", Tenant: "courts", Replicas: 4, Cores: 6, Memory: 0.5, LimitCores: 8, LimitMemory: 2,
			ExpectedRuntime: 30 * time.Second, RequestTimeout: 2 * time.Second, PlacementTimeout: time.Minute,
			Constraints: []servicespec.Constraint{
				{Attribute: "os", Value: "linux"},
				{Attribute: "arch", Value: "arm64"},
				{Attribute: "label.disk", Value: "ssd"},
				{Attribute: "hostname", Not: true, Value: "h9"},
			},
			Preferences:  []servicespec.Attribute{"zone"},
			SpreadLimits: []servicespec.SpreadLimit{{Domain: "rack", MaxTasks: 2}, {Domain: "machine", MaxTasks: 1}},
			Restart:      servicespec.Restart{When: servicespec.OnFailure, Delay: 5 * time.Second, MaxRestarts: 3, Window: 2 * time.Minute},
			Update: servicespec.Update{
				Parallel: 2, Delay: 10 * time.Second, FailureAction: servicespec.Rollback, Monitor: 5 * time.Second, MaxFailureRatio: 0.5, StartFirst: true,
			},
			DependsOn: []servicespec.Dependency{{Service: "db", When: servicespec.Healthy, Restart: true}},
			Labels:    map[string]string{"a": "1", "b": ""}, StopGrace: 90 * time.Second,
			Payload: []byte(`{"image":"batch:3","limits":{"cpus":8,"memory_bytes":2147483648},"platform":"linux/arm64","service_labels":{"a":"1","b":""}}`),
		},
		{
			Name: "db", Tenant: "courts", Replicas: 1, Cores: 2, Memory: 1, LimitCores: 2, Update: servicespec.Update{Parallel: 1},
			Payload: []byte(`{"image":"db","limits":{"cpus":2}}`),
		},
	}}
	if diff := cmp.Diff(want, d, cmpopts.IgnoreTypes(diagnostic.Pos{}), cmpopts.EquateEmpty()); diff != "" {
		t.Fatalf("Parse of honored elements differs (-want +got):\n%s", diff)
	}
}

// tooDeep returns 80 levels of mappings, more than maxDepth.
func tooDeep() string { return strings.Repeat("a: {", 80) + strings.Repeat("}", 80) }

// aliasBomb returns lists of aliases that expand to 9^9 values.
func aliasBomb() string {
	text := "a: &a [x,x,x,x,x,x,x,x,x]\n"
	for i := 'b'; i <= 'i'; i++ {
		text += string(i) + ": &" + string(i) + " [" + strings.Repeat("*"+string(i-1)+",", 8) + "*" + string(i-1) + "]\n"
	}
	return text
}

// errorCases has one file per case. The error of Parse for the file must contain the text want. If want is "", Parse
// must return no error.
var errorCases = map[string]struct{ text, want string }{
	"unreadable":           {"services: [", "a.yaml:1:1: not readable as YAML"},
	"unreadable, line 3":   {"services:\n  a: {}\n\tb: {}\n", "a.yaml:3:1: not readable as YAML"},
	"empty":                {"", "a.yaml:1:1: there is nothing in it; want a Compose file"},
	"a list":               {"- a", "a.yaml:1:1: the file is a list"},
	"no services":          {"name: a", "describes no services"},
	"alias bomb":           {aliasBomb(), "the files have too many nodes, with aliases expanded"},
	"alias to itself":      {"services: &s {a: *s}", "refers to a node that contains it"},
	"too deep":             {tooDeep(), "nested too deeply"},
	"key twice":            {"services:\n  a: {}\n  a: {}", `a.yaml:3:3`},
	"unknown element":      {"services:\n  a: {imgae: x}", `a.yaml:2:7: unknown element "imgae" in service "a"; want image`},
	"unknown in deploy":    {"services: {a: {deploy: {replica: 2}}}", `unknown element "replica" in deploy; want replicas`},
	"unknown at the top":   {"service: {}", `a.yaml:1:1: unknown element "service" in the file; want services`},
	"wrong type":           {"services: {a: {deploy: {replicas: many}}}", `a.yaml:1:35: replicas is "many"; want a whole number`},
	"negative":             {"services: {a: {deploy: {replicas: -1}}}", "a whole number from 0"},
	"not finite":           {"services: {a: {cpus: .inf}}", "a number from 0.001"},
	"not a number":         {"services: {a: {cpus: nan}}", "a number from 0.001"},
	"huge replicas":        {"services: {a: {deploy: {replicas: 99999999999999999999}}}", "a whole number"},
	"bad duration":         {"services: {a: {stop_grace_period: 5 minutes}}", "a duration from"},
	"duration overflow":    {"services: {a: {stop_grace_period: 99999999999999h}}", "a duration from"},
	"bad bytes":            {"services: {a: {mem_limit: 3 apples}}", "an amount of bytes"},
	"refused":              {"services: {a: {gpus: all}}", "gpus is refused: no kind of host offers them"},
	"refused device":       {"services: {a: {deploy: {resources: {reservations: {devices: [{}]}}}}}", "devices is refused"},
	"include":              {"include: [b.yaml]\nservices: {a: {}}", "include is refused: give the files together"},
	"tied":                 {"services: {a: {network_mode: 'service:b'}, b: {}}", "ties two tasks to one host"},
	"bad constraint":       {"services: {a: {deploy: {placement: {constraints: [fast]}}}}", "ATTRIBUTE == VALUE"},
	"unknown attribute":    {"services: {a: {deploy: {placement: {constraints: ['engine.labels.x == y']}}}}", "hosts have no attribute"},
	"unknown spread":       {"services: {a: {deploy: {placement: {preferences: [{spread: node.labels.floor}]}}}}", "node.labels.zone or node.labels.rack"},
	"unknown class":        {"services: {a: {x-forkhead: {class: fast}}}", `class "fast" is not in the settings; want web, batch`},
	"misspelled extension": {"services: {a: {x-forkhead: {clas: web}}}", `unknown element "clas" in x-forkhead of service "a"; want class`}, //nolint:misspell // the misspelt key is the case
	"depends on nothing":   {"services: {a: {depends_on: [b]}}", `service "a" depends on "b", which is not defined`},
	"depends in a cycle":   {"services: {a: {depends_on: [b]}, b: {depends_on: [c]}, c: {depends_on: [a]}}", "depends_on forms a cycle: a -> b -> c -> a"},
	"extends in a cycle":   {"services: {a: {extends: b}, b: {extends: {service: a}}}", "extends forms a cycle: a -> b -> a"},
	"extends nothing":      {"services: {a: {extends: {service: z}}}", `extends refers to service "z"`},
	"extends no file":      {"services: {a: {extends: {file: base.yaml, service: z}}}", "base.yaml is missing from the submission"},
	"scale and replicas":   {"services: {a: {scale: 2, deploy: {replicas: 3}}}", "scale is 2 and deploy.replicas 3"},
	"global with replicas": {"services: {a: {deploy: {mode: global, replicas: 3}}}", "exclude each other"},
	"reserves over limit":  {"services: {a: {deploy: {resources: {limits: {cpus: 1}, reservations: {cpus: 2}}}}}", "over its limit"},
	"container_name":       {"services: {a: {container_name: x, deploy: {replicas: 2}}}", "allows one task"},
	"no such network":      {"services: {a: {networks: [back]}}", `networks refers to "back", which the file does not define`},
	"no such volume":       {"services: {a: {volumes: ['data:/x']}}", `volumes refers to "data"`},
	"required variable":    {"services: {a: {image: '${X:?say which}'}}", "variable X is not set: say which"},
	"bad variable":         {"services: {a: {image: '${X!}'}}", "has no valid operator"},
	"open variable":        {"services: {a: {image: '${X'}}", "is never closed"},
	"merge of a word":      {"services: {a: {<<: x}}", "<< is given a single value"},
	"no active profile":    {"services: {a: {profiles: [x]}}", "every service has a profile"},
	"env_file missing":     {"services: {a: {env_file: .env.x}}", ".env.x is missing from the submission"},
	"payload":              {"services: {a: {command: '" + strings.Repeat("x", 40<<10) + "'}}", "at most 32 KiB"},
	"whole of a service":   {"services: {a: {x-forkhead: {whole: true}}}", "whole applies to all services together"},
	"near nothing":         {"services: {a: {x-forkhead: {near: {b: zone}}}}", `service "a" depends on "b", which is not defined`},
	"near in a cycle":      {"services: {a: {x-forkhead: {near: {b: zone}}}, b: {x-forkhead: {near: {a: rack}}}}", "forms a cycle"},
	"near where":           {"services: {a: {x-forkhead: {near: {b: town}}}, b: {}}", "want machine, rack or zone"},
	"good, whole":          {"x-forkhead: {whole: true}\nservices: {a: {}}", ""},
	"good":                 {"services: {a: {}}", ""},
	"good, plain":          {"services: {a: {image: nginx, ports: ['80:80'], environment: [A=1]}}", ""},
}

func TestParseErrorNamesPositionAndFault(t *testing.T) {
	for name, c := range errorCases {
		_, err := Parse(newInput(c.text))
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%s: Parse(%.200q) = error %v, want none", name, c.text, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
			t.Errorf("%s: Parse(%.200q) = error %v\nwant an error that contains %s", name, c.text, err, c.want)
		case c.want != "" && diagnostic.First(err) == nil:
			t.Errorf("%s: Parse(%.200q) = error %v, want an error with a position", name, c.text, err)
		}
	}
}

func TestParseInterpolatesVariables(t *testing.T) {
	vars := map[string]string{"A": "one", "EMPTY": ""}
	for text, want := range map[string]string{
		"$A": "one", "${A}": "one", "x${A}y": "xoney", "$$A": "$A", "${B:-d}": "d", "${EMPTY:-d}": "d", "${EMPTY-d}": "",
		"${B-d}": "d", "${A:+r}": "r", "${B:+r}": "", "${EMPTY+r}": "r", "${EMPTY:+r}": "", "${B:-${A}}": "one", "${A:?x}": "one",
	} {
		in := newInput("services: {a: {image: '" + text + "'}}")
		in.Variables = vars
		d, err := Parse(in)
		if err != nil {
			t.Errorf("Parse of a service with image %s = error %v, want none", text, err)
			continue
		}
		if got := string(d.Services[0].Payload); got != `{"image":"`+want+`"}` {
			t.Errorf("Parse of a service with image %s: got payload %s, want only the image %q in it", text, got, want)
		}
	}
}

func TestParseMergesFilesAndExtends(t *testing.T) {
	in := newInput("")
	in.Files = []File{
		{"a.yaml", `
name: p
x-base: &base {environment: {A: "1", B: "2"}}
services:
  web:
    <<: *base
    command: [run, a]
    ports: ["80:8080"]
    dns: [1.1.1.1]
    volumes: ["/a:/data"]
  api:
    extends: {file: common/base.yaml, service: api}
    environment: [B=3]
  gone: {image: x}
`},
		{"b.yaml", `
services:
  web:
    command: [run, b]
    environment: [B=9, C=4]
    ports: ["80:8080", "81:8081"]
    dns: [8.8.8.8]
    volumes: ["/b:/data"]
    deploy: {replicas: 2}
  gone: !reset null
`},
	}
	in.ReferencedFiles = []File{{"common/base.yaml", "services: {api: {extends: root, image: api}, root: {environment: {A: base, B: base}, init: true}}"}}
	d := mustParse(t, in)
	got := map[string]string{}
	for _, s := range d.Services {
		got[s.Name] = string(s.Payload)
	}
	want := map[string]string{
		"web": `{"command":["run","b"],"dns":["1.1.1.1","8.8.8.8"],"environment":{"A":"1","B":"9","C":"4"},"ports":["80:8080","81:8081"],"volumes":["/b:/data"]}`,
		"api": `{"environment":{"A":"base","B":"3"},"image":"api","init":true}`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("payloads after merging two files differ (-want +got):\n%s", diff)
	}
	if replicas := d.Service("web").Replicas; replicas != 2 {
		t.Fatalf("after merging two files: got %d replicas of service web, want 2, as in the later file", replicas)
	}
}

func TestParseAppliesProfilesAndAddsNotes(t *testing.T) {
	in := newInput("version: '3'\nservices: {a: {}, b: {profiles: [debug], build: .}, c: {depends_on: {b: {condition: service_started, required: false}}}}")
	d := mustParse(t, in)
	if len(d.Services) != 2 || len(d.Service("c").DependsOn) != 0 {
		t.Fatalf("Parse without profiles: got services %+v, want a and c, and no dependency of c", d.Services)
	}
	in.Profiles = []string{"debug"}
	if d = mustParse(t, in); len(d.Services) != 3 || len(d.Service("c").DependsOn) != 1 {
		t.Fatalf("Parse with profile debug: got services %+v, want a, b and c, and one dependency of c", d.Services)
	}
	if len(d.Notes) != 2 {
		t.Fatalf("Parse with profile debug: got notes %+v, want 2, one on version and one on build", d.Notes)
	}
}

// TestElementTableIsOnPage checks that docs/compose.md contains the tables of elements that the parser uses.
func TestElementTableIsOnPage(t *testing.T) { doccheck.Contains(t, "docs/compose.md", ElementTable()) }

// FuzzParse checks that Parse returns either a description or an error, for any text, and that no description has a negative
// number of tasks.
func FuzzParse(f *testing.F) {
	f.Add("services: {a: {image: '${A:-b}', deploy: {replicas: 2}}}")
	f.Add("x: &x {a: 1}\nservices:\n  a: {<<: *x, extends: b}\n  b: {depends_on: [a]}")
	f.Add("services: {a: {ports: [{mode: host, published: 80, target: 80}], volumes: [a:/b]}}\nvolumes: {a: }")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := Parse(newInput(text))
		if (d == nil) == (err == nil) {
			t.Fatalf("Parse(%q) = %+v, error %v, want either a description or an error", text, d, err)
		}
		if d != nil && d.Tasks() < 0 {
			t.Fatalf("Parse(%q): Tasks() of the description = %d, want at least 0", text, d.Tasks())
		}
	})
}

// BenchmarkParse parses a file of 50 services.
func BenchmarkParse(b *testing.B) {
	text := "services:\n"
	for i := range 50 {
		text += "  s" + string(rune('a'+i%26)) + string(rune('a'+i/26)) + ": {image: 'x:${T:-1}', deploy: {replicas: 3, resources: {reservations: {cpus: '0.5', memory: 256m}}}}\n"
	}
	in := newInput(text)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(in); err != nil {
			b.Fatalf("Parse of 50 services = error %v, want none", err)
		}
	}
}
