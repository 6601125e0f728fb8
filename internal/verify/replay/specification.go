package replay

import (
	"time"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/servicespec"
)

// The types below are the stored form of a service specification. Their fields have the names that are in the first
// recordings. Types of package servicespec whose fields still have these names are stored directly.
type (
	recordedSpecification struct {
		Name     string
		Services []recordedService
		Notes    []servicespec.Note
		Whole    bool
	}

	recordedService struct {
		Name        string
		Pos         diagnostic.Pos
		Class       string
		Tenant      string
		Mode        servicespec.Mode
		Replicas    int
		Cores       float64
		Memory      float64
		LimitCores  float64
		LimitMemory float64
		Life        time.Duration
		Wait        time.Duration
		Patience    time.Duration
		Constraints []servicespec.Constraint
		Preferences []servicespec.Attribute
		Limits      []recordedSpreadLimit
		Near        []recordedNear
		Restart     recordedRestart
		Update      recordedUpdate
		DependsOn   []servicespec.Dependency
		Labels      map[string]string
		StopGrace   time.Duration
		Payload     []byte
	}

	recordedSpreadLimit struct {
		Place string
		Most  int
		Pos   diagnostic.Pos
	}

	recordedNear struct {
		Service string
		Place   string
		Pos     diagnostic.Pos
	}

	recordedRestart struct {
		When   servicespec.RestartCondition
		Delay  time.Duration
		Most   int
		Window time.Duration
	}

	recordedUpdate struct {
		Parallel   int
		Delay      time.Duration
		OnTrouble  servicespec.FailureAction
		Monitor    time.Duration
		MaxFailed  float64
		StartFirst bool
	}
)

// recordSpecification returns the stored form of a specification, or nil for nil.
func recordSpecification(d *servicespec.Description) *recordedSpecification {
	if d == nil {
		return nil
	}
	return &recordedSpecification{
		Name: d.Name, Services: convertAll(d.Services, recordService), Notes: d.Notes, Whole: d.AllOrNothing,
	}
}

// specification returns the specification that was recorded, or nil for nil.
func (r *recordedSpecification) specification() *servicespec.Description {
	if r == nil {
		return nil
	}
	return &servicespec.Description{
		Name: r.Name, Services: convertAll(r.Services, recordedService.service), Notes: r.Notes, AllOrNothing: r.Whole,
	}
}

func recordService(s servicespec.Service) recordedService {
	return recordedService{
		Name: s.Name, Pos: s.Pos, Class: s.Class, Tenant: s.Tenant, Mode: s.Mode, Replicas: s.Replicas,
		Cores: s.Cores, Memory: s.Memory, LimitCores: s.LimitCores, LimitMemory: s.LimitMemory,
		Life: s.ExpectedRuntime, Wait: s.RequestTimeout, Patience: s.PlacementTimeout,
		Constraints: s.Constraints, Preferences: s.Preferences,
		Limits: convertAll(s.SpreadLimits, recordSpreadLimit), Near: convertAll(s.Near, recordNear),
		Restart: recordRestartPolicy(s.Restart), Update: recordUpdate(s.Update),
		DependsOn: s.DependsOn, Labels: s.Labels, StopGrace: s.StopGrace, Payload: s.Payload,
	}
}

func (r recordedService) service() servicespec.Service {
	return servicespec.Service{
		Name: r.Name, Pos: r.Pos, Class: r.Class, Tenant: r.Tenant, Mode: r.Mode, Replicas: r.Replicas,
		Cores: r.Cores, Memory: r.Memory, LimitCores: r.LimitCores, LimitMemory: r.LimitMemory,
		ExpectedRuntime: r.Life, RequestTimeout: r.Wait, PlacementTimeout: r.Patience,
		Constraints: r.Constraints, Preferences: r.Preferences,
		SpreadLimits: convertAll(r.Limits, recordedSpreadLimit.limit), Near: convertAll(r.Near, recordedNear.near),
		Restart: r.Restart.restart(), Update: r.Update.update(),
		DependsOn: r.DependsOn, Labels: r.Labels, StopGrace: r.StopGrace, Payload: r.Payload,
	}
}

func recordSpreadLimit(l servicespec.SpreadLimit) recordedSpreadLimit {
	return recordedSpreadLimit{Place: l.Domain, Most: l.MaxTasks, Pos: l.Pos}
}

func (r recordedSpreadLimit) limit() servicespec.SpreadLimit {
	return servicespec.SpreadLimit{Domain: r.Place, MaxTasks: r.Most, Pos: r.Pos}
}

func recordNear(n servicespec.Near) recordedNear {
	return recordedNear{Service: n.Service, Place: n.Domain, Pos: n.Pos}
}

func (r recordedNear) near() servicespec.Near {
	return servicespec.Near{Service: r.Service, Domain: r.Place, Pos: r.Pos}
}

func recordRestartPolicy(p servicespec.Restart) recordedRestart {
	return recordedRestart{When: p.When, Delay: p.Delay, Most: p.MaxRestarts, Window: p.Window}
}

func (r recordedRestart) restart() servicespec.Restart {
	return servicespec.Restart{When: r.When, Delay: r.Delay, MaxRestarts: r.Most, Window: r.Window}
}

func recordUpdate(u servicespec.Update) recordedUpdate {
	return recordedUpdate{
		Parallel: u.Parallel, Delay: u.Delay, OnTrouble: u.FailureAction, Monitor: u.Monitor, MaxFailed: u.MaxFailureRatio, StartFirst: u.StartFirst,
	}
}

func (r recordedUpdate) update() servicespec.Update {
	return servicespec.Update{
		Parallel: r.Parallel, Delay: r.Delay, FailureAction: r.OnTrouble, Monitor: r.Monitor, MaxFailureRatio: r.MaxFailed, StartFirst: r.StartFirst,
	}
}
