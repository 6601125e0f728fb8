// Package settings parses a placer's settings, which are S-expressions, and checks every field. docs/ops/placer.md lists what
// each setting does.
package settings

import (
	_ "embed"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/sexp"
)

// Default is the text of the settings that hold where a user gives none.
//
//go:embed default.sexp
var Default []byte

// Settings are what a placer service starts with. Figures that the module decides by are in Module and are passed
// on unchanged; Module.Self and Module.Placers are set by ForPlacer.
type Settings struct {
	Module           forkhead.Settings
	MachineTypeNames []string // by place in Module.MachineTypes
	Classes          []Class  // by place in Module.Classes
	Tenants          []string // names, by place in Module.Tenants

	DefaultClass int // place in Classes of the class of services that name none

	Placers          []Placer
	ServiceDiscovery ServiceDiscovery
	Owner            Owner
	HostConnections  HostConnections
	Limits           Limits
	SavedHostList    SavedHostList
}

// Class is what the service knows of a class beside what the module does.
type Class struct {
	Name             string
	RequestTimeout   time.Duration // of one placement request
	PlacementTimeout time.Duration // a task is requested again and again for so long
}

// Placer is one placer of the service.
type Placer struct {
	Zone          string
	HTTPAddress   string // of its front
	GossipAddress string // for UDP messages between placers
}

// ServiceDiscovery is where the endpoint list comes from.
type ServiceDiscovery struct {
	Address     string
	Service     string        // name under which hosts are registered
	MaxWait     time.Duration // longest wait of a blocking query
	Timeout     time.Duration // beyond MaxWait; then the query has failed
	MinInterval time.Duration // least time between two queries
}

// Owner is how a task that was rejected, failed, migrated or lost is requested again.
type Owner struct {
	MinBackoff       time.Duration // mean wait after the first rejection
	MaxBackoff       time.Duration // mean waits double up to this
	MigrationBackoff time.Duration // mean wait after a migration or a loss
	MaxRequests      int           // placement requests for one outcome
	MaxPlacements    int           // a task that was placed so often is not placed again when it is lost
}

// HostConnections is how connections to hosts are maintained.
type HostConnections struct {
	ConnectTimeout time.Duration // a connection that is not there within it has failed
	MinBackoff     time.Duration // mean wait before the first reconnect
	MaxBackoff     time.Duration // mean waits double up to this
	LostAfter      time.Duration // a host that is unreachable for so long has lost its tasks, where a repeat is harmless
	ProbeTimeout   time.Duration // a probe without an answer for so long has failed
}

// Limits bound memory and work. What happens at each is in docs/ops/placer.md.
type Limits struct {
	BodyBytes            int           // bytes of a submission
	Tasks                int           // tasks that one placer holds
	TasksPerSubmission   int           // tasks of one submission
	Submissions          int           // submissions in memory
	Retention            time.Duration // how long a finished submission can be read again
	Connections          int           // to the front
	BufferBytes          int           // bytes waiting for one reader
	Hosts                int           // hosts in the endpoint list
	PlacementConstraints int           // different placement constraints at once
}

// SavedHostList is how far a placer that starts relies on the endpoint list that it has stored.
type SavedHostList struct {
	FreshAge time.Duration // up to this age as good as one from service discovery
	MaxAge   time.Duration // beyond it of no use; between the two a host counts once its handshake is done
}

// Parse parses and checks a file of settings. The error lists all faults with their positions.
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

// FromNode parses and checks settings in a (forkhead ...) list that is part of a larger file.
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

// ForPlacer returns the settings of one placer: Module.Self and Module.Placers are set.
func (s *Settings) ForPlacer(self int) *Settings {
	c := *s
	c.Module.Self, c.Module.Placers = self, len(s.Placers)
	return &c
}

// ClassIndex returns the place of a class by name.
func (s *Settings) ClassIndex(name string) (index int, ok bool) {
	for i, c := range s.Classes {
		if c.Name == name {
			return i, true
		}
	}
	return 0, false
}
