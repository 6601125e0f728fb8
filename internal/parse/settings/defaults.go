package settings

import (
	"time"

	"forkhead"
)

// defaults returns the settings that apply unless a file sets others.
func defaults() *Settings {
	return &Settings{
		Module:           defaultModule(),
		ServiceDiscovery: defaultServiceDiscovery,
		Owner:            defaultOwner,
		HostConnections:  defaultHostConnections,
		Limits:           defaultLimits,
		SavedHostList:    SavedHostList{FreshAge: time.Minute, MaxAge: 24 * time.Hour},
	}
}

// defaultPlacer is the only placer if the file has no entry (placer ...).
var defaultPlacer = Placer{HTTPAddress: "127.0.0.1:7070", GossipAddress: "127.0.0.1:7071"}

// The mean cores and the mean memory that a task is expected to request. Each applies if the file has no entry for it,
// which is (mean-cores ...) or (mean-memory ...).
const (
	defaultMeanCores  = 1
	defaultMeanMemory = 2 // GiB
)

func defaultModule() forkhead.Settings {
	return forkhead.Settings{
		CoresOvercommit: 1, MemoryOvercommit: 1, BoundWhenRunning: false, ListReportsAvailable: true, ReportsCountRequested: true,
		ReportsInOutcomes: true, ReportsInProbes: true, NotesReportUsage: true, NotesReportPressure: true,
		MaxAttempts: 4, MayWithdraw: true, MayProbe: true, MayGossip: true,
		OwnerBackoff: 3 * time.Second, MaxRetryAfter: 3 * time.Second, ConnectTimeout: 250 * time.Millisecond,
		AnswerSlack: 10 * time.Millisecond, DrainGrace: 250 * time.Millisecond, MaxPollInterval: 10 * time.Second,
		SlowStartDuration: 10 * time.Second, SlowStartWindow: time.Second, SlowStartMaxOffers: 20, SlowStartInitialRate: 0.2, SlowStartOverload: 4,
		OverQuotaWeight: 0.2,
		Costs: forkhead.Costs{
			SurplusMachine: 0.15, Migration: 0.05, EvictionMigrations: 2, Rejection: 0.02, WastedWork: 0.05, Probe: 0.003, Gossip: 0.01, ListEntries: 0.004,
		},
	}
}

var defaultServiceDiscovery = ServiceDiscovery{
	Address: "127.0.0.1:8500", Service: "forkhead-host", MaxWait: 10 * time.Second, Timeout: 2 * time.Second,
	MinInterval: 200 * time.Millisecond,
}

var defaultOwner = Owner{
	MinBackoff: time.Second, MaxBackoff: 15 * time.Second, MigrationBackoff: 100 * time.Millisecond, MaxRequests: 100,
	MaxPlacements: 1000,
}

var defaultHostConnections = HostConnections{
	ConnectTimeout: time.Second, MinBackoff: 100 * time.Millisecond, MaxBackoff: 3 * time.Second, LostAfter: 3 * time.Second,
	ProbeTimeout: time.Second,
}

var defaultLimits = Limits{
	BodyBytes: 1 << 20, Tasks: 100_000, TasksPerSubmission: 10_000, Submissions: 10_000, Retention: 10 * time.Minute,
	Connections: 1000, BufferBytes: 4 << 20, Hosts: 10_000, PlacementConstraints: 64,
}

// defaultRequestTimeout is the timeout of a placement request in a class that has no entry (wait ...).
const defaultRequestTimeout = 5 * time.Second

// defaultClass returns the module's settings for a class of which the file sets only the name. Machine type -1 means any
// machine type.
func defaultClass() forkhead.Class {
	return forkhead.Class{
		DedupWindow: 8 * time.Second, LatencyObjective: time.Second, Weight: 1, LateWeight: 0.1, StartWeight: 10, MachineType: -1,
		SaturationThreshold: 0.9, DegradationRange: 0.2,
	}
}
