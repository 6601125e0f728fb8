// Package settings parses the settings of a placer, which are S-expressions, and checks every field. docs/ops/placer.md
// describes each setting.
package settings

import (
	_ "embed"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/sexp"
)

// Default is the text of the settings that apply if the user provides none.
//
//go:embed default.sexp
var Default []byte

// Settings are the settings that a placer service starts with. The field Module has the settings that are passed
// unchanged to the module, which makes the placement decisions. ForPlacer sets Module.Self and Module.Placers.
type Settings struct {
	Module           forkhead.Settings
	MachineTypeNames []string // in the order of Module.MachineTypes
	Classes          []Class  // in the order of Module.Classes
	Tenants          []string // names of the tenants, in the order of Module.Tenants

	DefaultClass int // index in Classes of the class for services that name no class

	Placers          []Placer
	ServiceDiscovery ServiceDiscovery
	Owner            Owner
	HostConnections  HostConnections
	Limits           Limits
	SavedHostList    SavedHostList
}

// Class has those settings of a class of tasks that are not passed to the module.
type Class struct {
	Name             string
	RequestTimeout   time.Duration // timeout of one placement request
	PlacementTimeout time.Duration // how long the owner repeats its placement requests for a task
}

// Placer is one placer of the service.
type Placer struct {
	Zone          string
	HTTPAddress   string // address of the HTTP server for owners
	GossipAddress string // UDP address for messages between placers
}

// ServiceDiscovery determines how the endpoint list is queried from service discovery.
type ServiceDiscovery struct {
	Address     string
	Service     string        // name under which hosts are registered
	MaxWait     time.Duration // longest duration of a blocking query
	Timeout     time.Duration // a query fails if it takes this much longer than MaxWait
	MinInterval time.Duration // minimum time between two queries
}

// Owner determines when and how often the placement of a task is requested again after the task was rejected, failed,
// migrated or lost.
type Owner struct {
	MinBackoff       time.Duration // mean backoff after the first rejection
	MaxBackoff       time.Duration // longest mean backoff: the mean doubles up to this
	MigrationBackoff time.Duration // mean backoff after a migration or a loss
	MaxRequests      int           // maximum number of placement requests for one outcome
	MaxPlacements    int           // a lost task that was placed this many times is not placed again
}

// HostConnections determines how connections to hosts are maintained.
type HostConnections struct {
	ConnectTimeout time.Duration // an attempt to connect fails if it takes longer than this
	MinBackoff     time.Duration // mean backoff before the first reconnect
	MaxBackoff     time.Duration // longest mean backoff: the mean doubles up to this
	LostAfter      time.Duration // tasks that can be repeated safely count as lost once their host is unreachable for this long
	ProbeTimeout   time.Duration // a probe fails if its answer takes longer than this
}

// Limits bound the memory and the work of a placer. docs/ops/placer.md describes what happens when each limit is reached.
type Limits struct {
	BodyBytes            int           // bytes of a submission
	Tasks                int           // tasks that one placer holds
	TasksPerSubmission   int           // tasks of one submission
	Submissions          int           // submissions held in memory
	Retention            time.Duration // how long a finished submission can still be read
	Connections          int           // connections to the HTTP server
	BufferBytes          int           // bytes that wait to be written to one client
	Hosts                int           // hosts in the endpoint list
	PlacementConstraints int           // distinct placement constraints in use at one time
}

// SavedHostList determines whether a starting placer uses the endpoint list that it has stored. If the list is older
// than FreshAge but not older than MaxAge, the placer uses each host in the list once its handshake with the host is
// done.
type SavedHostList struct {
	FreshAge time.Duration // a stored list up to this age is used like a list from service discovery
	MaxAge   time.Duration // a stored list beyond this age is not used
}

// Parse parses and checks a settings file. The error lists the faults with their positions.
func Parse(file string, text []byte) (*Settings, error) {
	nodes, err := sexp.Parse(file, text)
	if err != nil {
		return nil, err
	}
	if len(nodes) != 1 || nodes[0].Head() != "forkhead" {
		pos := diagnostic.Pos{File: file, Line: 1, Col: 1}
		if len(nodes) > 0 {
			pos = nodes[min(len(nodes), 2)-1].Pos
		}
		return nil, diagnostic.Wantf(pos, "one (forkhead ...)", "the file holds something else")
	}
	return FromNode(nodes[0])
}

// FromNode parses and checks settings in a list (forkhead ...) that is part of a larger file.
func FromNode(n *sexp.Node) (*Settings, error) {
	s := defaults()
	p := parser{settings: s, errs: &diagnostic.List{}}
	p.parse(n)
	if err := p.errs.Err(); err != nil {
		return nil, err
	}
	if _, err := forkhead.New(s.ForPlacer(0).Module, 0); err != nil {
		return nil, diagnostic.Errorf(n.Pos, "%s", strings.TrimPrefix(err.Error(), "forkhead: "))
	}
	return s, nil
}

// ForPlacer returns a copy of the settings for one placer, with Module.Self and Module.Placers set. The parameter self
// is the index of the placer.
func (s *Settings) ForPlacer(self int) *Settings {
	c := *s
	c.Module.Self, c.Module.Placers = self, len(s.Placers)
	return &c
}

// ClassIndex returns the index in Classes of the class with a name.
func (s *Settings) ClassIndex(name string) (index int, ok bool) {
	for i, c := range s.Classes {
		if c.Name == name {
			return i, true
		}
	}
	return 0, false
}
