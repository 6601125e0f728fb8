package platformconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Check returns an error if a placer cannot use a settings text. That is so if a field that decisions depend on is
// missing, has the wrong type or is out of range, if a keyword is unknown, or if fields contradict each other. The
// error is one line that names the first such field. Unknown fields are ignored.
func Check(text []byte) error {
	var root map[string]any
	if err := json.Unmarshal(text, &root); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c := checker{root: root}
	c.placers()
	zones := c.names("dcs", 1)
	c.number("az", integer, 0, float64(max(zones, 1)-1))
	machineTypes := c.names("kinds", 1)
	c.oneOf("discovery", "automatic", "subscribe")
	c.oneOf("loadInfo.how", "answers", "probe", "none")
	c.capabilities()
	c.rules()
	c.familyInfo(machineTypes)
	c.classes(machineTypes)
	c.tenants()
	return c.err
}

// placers checks the number of placers and the index of this placer.
func (c *checker) placers() {
	c.number("balancers", integer, 1, 1e6)
	c.number("me", integer, 0, 1e6)
	if c.err == nil && c.numberAt("me") >= c.numberAt("balancers") {
		c.fail("me", "is %v, want less than balancers, %v", c.numberAt("me"), c.numberAt("balancers"))
	}
}

// capabilities checks the fields of caps, and familyInfo.listsFree.
func (c *checker) capabilities() {
	for _, flag := range []string{"caps.cancel", "caps.probing", "caps.peers", "familyInfo.listsFree"} {
		c.flag(flag)
	}
	c.number("caps.maxAttempts", integer, 1, 1e6)
	c.number("caps.connectTimeout", decimal, 1, math.MaxFloat32)
	c.number("caps.connIdle", decimal, 0, math.MaxFloat32)
}

// rules checks the fields of rules.
func (c *checker) rules() {
	for _, name := range []string{"rules.stopSendingWithin", "rules.cold", "rules.fall"} {
		c.number(name, decimal, 0, math.MaxFloat32)
	}
	if c.err == nil && c.numberAt("rules.cold") > 0 && c.numberAt("rules.fall") == 0 {
		c.fail("rules.fall", "is 0, want a window over which offers to cold hosts count, as rules.cold is %v", c.numberAt("rules.cold"))
	}
}

// familyInfo checks the fields of familyInfo, except for those that belong to classes or tenants.
func (c *checker) familyInfo(machineTypes int) {
	c.number("familyInfo.coldSends", decimal, 0, math.MaxFloat32)
	c.number("familyInfo.acceptsCores", decimal, 0, math.MaxFloat32)
	c.number("familyInfo.memBooking", decimal, 0, math.MaxFloat32)
	c.number("familyInfo.unitCores", decimal, 0, math.MaxFloat32)
	c.oneOf("familyInfo.saysYes", "accepted", "running")
	for _, name := range []string{"familyInfo.kindCores", "familyInfo.memoryByKind"} {
		c.numbers(name, machineTypes, decimal, math.SmallestNonzeroFloat32, math.MaxFloat32)
	}
}

// classes checks the classes, and the lists of familyInfo that have one entry per class.
func (c *checker) classes(machineTypes int) {
	count := c.names("classes.name", 1)
	for _, name := range []string{"easyUntil", "classFade", "promptStartS"} {
		c.numbers("familyInfo."+name, count, decimal, 0, math.MaxFloat32)
	}
	c.numbers("familyInfo.classPriority", count, integer, 0, 1e6)
	c.numbers("familyInfo.kindByClass", count, integer, -1, float64(machineTypes-1))
	c.numbers("familyInfo.classMost", count, integer, 0, 1e9)
	spreads, _ := c.at("familyInfo.classSpread").([]any)
	if len(spreads) != count {
		c.fail("familyInfo.classSpread", "has %d entries for %d classes", len(spreads), count)
	}
	if c.err != nil {
		return
	}
	maxPerDomain := c.at("familyInfo.classMost").([]any)
	for i, class := range c.at("classes").([]any) {
		if c.err = checkClass(i, class.(map[string]any)); c.err != nil {
			return
		}
		if c.spread(i, spreads[i], maxPerDomain[i].(float64)); c.err != nil {
			return
		}
	}
}

// checkClass checks the fields of one class, given its index. The fields group and memorySpan are checked only in a
// class whose effect is dedup (keyed), since no other class needs them.
func checkClass(index int, fields map[string]any) error {
	c := checker{root: fields, prefix: fmt.Sprintf("classes[%d].", index)}
	c.oneOf("effect", slices.Sorted(maps.Keys(effects))...)
	if c.err == nil && fields["effect"] == "dedup" {
		c.oneOf("group", slices.Sorted(maps.Keys(domains))...)
		c.number("memorySpan", decimal, 1, math.MaxFloat32)
	}
	c.number("aim", decimal, 0, math.MaxFloat32)
	c.number("points", decimal, 0, math.MaxFloat32)
	return c.err
}

// spread checks the spread limit of one class, given the index of the class, the domain, and the maximum number of
// tasks of a service in one domain.
func (c *checker) spread(index int, spread any, maxTasks float64) {
	name, isText := spread.(string)
	domain, isKnown := domains[name]
	switch {
	case !isText || !isKnown:
		c.fail(fmt.Sprintf("familyInfo.classSpread[%d]", index), "is %v, want one of %s", spread, quoteAll(slices.Sorted(maps.Keys(domains))))
	case domain != 0 && maxTasks < 1:
		c.fail(fmt.Sprintf("familyInfo.classMost[%d]", index), "is %v, want at least 1, as classSpread is %q", maxTasks, name)
	}
}

// tenants checks the tenants, which are optional.
func (c *checker) tenants() {
	if c.err != nil || c.at("tenants") == nil {
		return
	}
	count := c.names("tenants.name", 0)
	if quotas, ok := c.at("familyInfo.tenantQuotaCores").([]any); ok && len(quotas) != 0 && len(quotas) != count {
		c.fail("familyInfo.tenantQuotaCores", "has %d entries for %d tenants", len(quotas), count)
	}
	if c.err != nil {
		return
	}
	for i, tenant := range c.at("tenants").([]any) {
		c.inRange(fmt.Sprintf("tenants[%d].share", i), tenant.(map[string]any)["share"], decimal, 0, 1)
	}
}
