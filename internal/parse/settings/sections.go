package settings

import (
	"time"

	"forkhead"
	"forkhead/internal/parse/sexp"
)

// Each function in this file returns the fields of one section, by their keys in the file. The fields store into the
// struct that the function is given. The keys stay the same when the fields of the struct are renamed, because existing
// files have these keys.

// moduleFields returns the fields at the top level of the file that set the module's settings.
func (p *parser) moduleFields() map[string]sexp.Field {
	m := &p.settings.Module
	return map[string]sexp.Field{
		"mean-cores":  sexp.Number(&m.MeanCores, 1e-3, 1e4),
		"mean-memory": memoryField(&m.MeanMemory),
		"accept": p.section(map[string]sexp.Field{
			"cores":  sexp.Number(&m.CoresOvercommit, 0.1, 10),
			"memory": sexp.Number(&m.MemoryOvercommit, 0.1, 10),
		}),
		"bound":            sexp.Choice(&m.BoundWhenRunning, map[string]bool{"accepted": false, "running": true}),
		"sticky":           sexp.Bool(&m.ServiceAffinity),
		"push-out":         sexp.Bool(&m.Preemption),
		"attempts":         sexp.Int(&m.MaxAttempts, 1, 100),
		"withdraw":         sexp.Bool(&m.MayWithdraw),
		"probe":            sexp.Bool(&m.MayProbe),
		"tell":             sexp.Bool(&m.MayGossip),
		"drain-grace":      sexp.Duration(&m.DrainGrace, 0, time.Minute),
		"list-within":      sexp.Duration(&m.MaxPollInterval, 100*time.Millisecond, time.Hour),
		"cold":             p.section(slowStartFields(m)),
		"over-share-worth": sexp.Number(&m.OverQuotaWeight, 0, 1),
		"prices":           p.section(costFields(&m.Costs)),
	}
}

func slowStartFields(m *forkhead.Settings) map[string]sexp.Field {
	return map[string]sexp.Field{
		"for":      sexp.Duration(&m.SlowStartDuration, 0, time.Hour),
		"window":   sexp.Duration(&m.SlowStartWindow, 0, time.Minute),
		"offers":   sexp.Number(&m.SlowStartMaxOffers, 0, 1e6),
		"from":     sexp.Number(&m.SlowStartInitialRate, 0, 1),
		"multiple": sexp.Number(&m.SlowStartOverload, 0, 1000),
	}
}

func costFields(c *forkhead.Costs) map[string]sexp.Field {
	return map[string]sexp.Field{
		"machine": sexp.Number(&c.SurplusMachine, 0, 10),
		"move":    sexp.Number(&c.Migration, 0, 10),
		"evict":   sexp.Number(&c.EvictionMigrations, 0, 100),
		"refusal": sexp.Number(&c.Rejection, 0, 10),
		"zone":    sexp.Number(&c.RemoteZone, 0, 10),
		"waste":   sexp.Number(&c.WastedWork, 0, 10),
		"probe":   sexp.Number(&c.Probe, 0, 10),
		"tell":    sexp.Number(&c.Gossip, 0, 10),
		"list":    sexp.Number(&c.ListEntries, 0, 10),
	}
}

// ownerFields returns the fields of the section owner, which store into the module's settings and into Settings.Owner.
func (p *parser) ownerFields() map[string]sexp.Field {
	m, o := &p.settings.Module, &p.settings.Owner
	return map[string]sexp.Field{
		"wait":            sexp.Duration(&m.OwnerBackoff, 0, time.Hour),
		"max-retry-after": sexp.Duration(&m.MaxRetryAfter, 0, time.Hour),
		"first":           sexp.Duration(&o.MinBackoff, time.Millisecond, time.Hour),
		"most":            sexp.Duration(&o.MaxBackoff, time.Millisecond, maxDuration),
		"soon":            sexp.Duration(&o.MigrationBackoff, time.Millisecond, time.Hour),
		"asks":            sexp.Int(&o.MaxRequests, 1, 1e6),
		"lives":           sexp.Int(&o.MaxPlacements, 1, 1e6),
	}
}

func hostConnectionFields(c *HostConnections) map[string]sexp.Field {
	return map[string]sexp.Field{
		"connect":    sexp.Duration(&c.ConnectTimeout, time.Millisecond, time.Minute),
		"first":      sexp.Duration(&c.MinBackoff, time.Millisecond, time.Minute),
		"most":       sexp.Duration(&c.MaxBackoff, time.Millisecond, time.Hour),
		"lost-after": sexp.Duration(&c.LostAfter, 0, time.Hour),
		"probe":      sexp.Duration(&c.ProbeTimeout, time.Millisecond, time.Minute),
	}
}

func savedHostListFields(l *SavedHostList) map[string]sexp.Field {
	return map[string]sexp.Field{
		"fresh": sexp.Duration(&l.FreshAge, 0, 24*time.Hour),
		"old":   sexp.Duration(&l.MaxAge, 0, 365*24*time.Hour),
	}
}

func serviceDiscoveryFields(d *ServiceDiscovery) map[string]sexp.Field {
	return map[string]sexp.Field{
		"address": addressField(&d.Address),
		"service": sexp.Text(&d.Service),
		"wait":    sexp.Duration(&d.MaxWait, 10*time.Millisecond, 10*time.Minute),
		"timeout": sexp.Duration(&d.Timeout, 10*time.Millisecond, 10*time.Minute),
		"pace":    sexp.Duration(&d.MinInterval, time.Millisecond, time.Minute),
	}
}

func limitFields(l *Limits) map[string]sexp.Field {
	return map[string]sexp.Field{
		"body":        sexp.Int(&l.BodyBytes, 1024, 64<<20),
		"tasks":       sexp.Int(&l.Tasks, 1, 1e7),
		"per-submit":  sexp.Int(&l.TasksPerSubmission, 1, 1e6),
		"submissions": sexp.Int(&l.Submissions, 1, 1e6),
		"keep":        sexp.Duration(&l.Retention, time.Second, maxDuration),
		"connections": sexp.Int(&l.Connections, 1, 1e6),
		"buffer":      sexp.Int(&l.BufferBytes, 4096, 1<<30),
		"hosts":       sexp.Int(&l.Hosts, 1, 1e6),
		"labels":      sexp.Int(&l.PlacementConstraints, 1, 64),
	}
}
