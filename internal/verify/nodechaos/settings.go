package nodechaos

import (
	"encoding/json"
	"time"
)

// Names and sizes of the emulated platform.
const (
	zoneName        = "zone"
	machineTypeName = "standard"
	tenantName      = "tenant"
	hostCores       = 40
	hostMemory      = 80
)

// Limits that both the settings and the emulated hosts state.
const (
	idleTimeout       = 6 * time.Second
	drainGrace        = 250 * time.Millisecond
	slowStartDuration = 5 * time.Second
	slowStartWindow   = time.Second
	slowStartOffers   = 40
	connectTimeout    = 250 * time.Millisecond
)

// object is a JSON object of the settings.
type object map[string]any

// settings returns the settings object of a placer.
func (p *Plan) settings(placer int) json.RawMessage {
	text, err := json.Marshal(object{
		"az": 0, "dcs": []string{zoneName}, "balancers": p.Placers, "me": placer, "discovery": "automatic",
		"caps": object{
			"cancel": true, "maxAttempts": 4, "peers": true, "probing": true,
			"connIdle": idleTimeout.Milliseconds(), "connectTimeout": connectTimeout.Milliseconds(),
		},
		"classes": classSettings(),
		"tenants": []object{{"name": tenantName, "share": 1}},
		"familyInfo": object{
			"acceptsCores": 1, "memBooking": 1, "coldSends": slowStartOffers, "listsFree": true, "meanMemory": 1,
			"kindCores": []int{hostCores}, "memoryByKind": []int{hostMemory}, "saysYes": "accepted", "unitCores": 1, "reportCounts": "asked",
			"classFade": perClass(0.2), "classMost": perClass(maxPerRack), "classPriority": perClass(0),
			"classSpread": perClass("cell"), "easyUntil": perClass(0.9), "kindByClass": perClass(-1), "promptStartS": perClass(10),
		},
		"kinds":    []string{machineTypeName},
		"loadInfo": object{"fields": []string{"x0", "x1"}, "how": "answers"},
		"rules": object{
			"cold": slowStartDuration.Milliseconds(), "fall": slowStartWindow.Milliseconds(), "mustAskIn": 10000,
			"stopSendingWithin": drainGrace.Milliseconds(),
		},
	})
	if err != nil {
		panic(err) // unreachable: all values can be encoded as JSON
	}
	return text
}

func classSettings() []object {
	all := make([]object, classCount)
	all[keyedClass] = object{"effect": "dedup", "group": "all", "memorySpan": dedupWindow.Milliseconds()}
	all[safeClass] = object{"effect": "retryable"}
	all[unsafeClass] = object{"effect": "fragile"}
	for i, class := range all {
		class["name"], class["aim"], class["points"] = classNames[i], 800, 2
	}
	return all
}

// perClass returns a list with a value for each class.
func perClass(value any) []any {
	all := make([]any, classCount)
	for i := range all {
		all[i] = value
	}
	return all
}
