package main

// Names and sizes of the small deployment of the cases.
const (
	zoneName   = "z"
	kindName   = "std"
	tenantName = "acme"
	hostCores  = 24.0
	hostMemory = 48.0
)

// settings returns the settings of one placer of a small deployment. Its classes are a keyed and an unsafe one.
func settings() map[string]any {
	return map[string]any{
		"az": 0, "dcs": []string{zoneName}, "balancers": 1, "me": 0, "discovery": "automatic",
		"caps": map[string]any{
			"cancel": true, "maxAttempts": 4, "peers": true, "probing": true, "connIdle": 30000, "connectTimeout": 250,
			"parallelTries": false, "retryAfter": true, "maxRetryAfter": 3000,
		},
		"classes": []map[string]any{
			{"name": "keyed", "aim": 800, "hardLimit": 5000, "effect": "dedup", "group": "all", "memorySpan": 8000, "points": 2, "runsOn": true},
			{"name": "unsafe", "aim": 800, "hardLimit": 5000, "effect": "fragile", "group": "all", "memorySpan": 5000, "points": 2, "runsOn": true},
		},
		"tenants": []map[string]any{{"name": tenantName, "share": 1}},
		"familyInfo": map[string]any{
			"acceptsCores": 1, "memBooking": 1, "coldSends": 40, "listsFree": true, "meanMemory": 2, "unitCores": 1,
			"kindCores": []float64{hostCores}, "memoryByKind": []float64{hostMemory}, "saysYes": "accepted", "reportCounts": "asked",
			"classFade": []float64{0.5, 0.5}, "classMost": []int{2, 2}, "classPriority": []int{0, 0},
			"classSpread": []string{"none", "none"}, "easyUntil": []float64{1, 1}, "kindByClass": []int{-1, -1}, "promptStartS": []float64{10, 10},
			"sticks": true, "ownerWait": 3000,
		},
		"kinds":    []string{kindName},
		"loadInfo": map[string]any{"fields": []string{"x0", "x1", "backlog"}, "how": "answers"},
		"rules":    map[string]any{"answerSlack": 8, "cold": 14000, "fall": 1500, "mustAskIn": 10000, "stopSendingWithin": 250, "fallMultiple": 4, "coldFrom": 0.18},
	}
}

// inService returns the entry of a host in service. Hosts with different numbers are in different racks.
func inService(h *host, rack int) entry {
	return entry{
		Host: h.name, Dial: h.addr, Site: zoneName, Class: kindName, Block: rack, Health: "in_service", Share: 1,
		Free: []float64{hostCores, hostMemory},
	}
}

// as returns an entry with another state.
func (e entry) as(health string) entry {
	e.Health = health
	return e
}
