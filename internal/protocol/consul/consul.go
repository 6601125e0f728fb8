// Package consul reads and writes the endpoint list in the form of Consul's HTTP API, as published at
// developer.hashicorp.com/consul/api-docs: /v1/health/service/:service with blocking queries, and /v1/catalog/register.
// The package is pure: server/listwatch is the client, emulator/consul an emulator of the service.
//
//	consul.go  the types of the API, as they are in JSON
//	host.go    hosts from and to these types
package consul

// Entry is an element of the answer to /v1/health/service/:service.
type Entry struct {
	Node    Node
	Service Service
	Checks  []Check
}

// Node is the machine that a service is registered on.
type Node struct {
	ID         string
	Node       string // name
	Address    string
	Datacenter string
	Meta       map[string]string
}

// Service is the registration of a service on a node.
type Service struct {
	ID      string
	Service string // name
	Address string // "": the node's
	Port    int
	Meta    map[string]string
	Tags    []string
}

// Check is the state of a health check.
type Check struct {
	Node      string
	CheckID   string
	Name      string
	Status    string // StatusPassing, "warning" or StatusCritical
	ServiceID string
}

// Statuses of a check.
const (
	StatusPassing  = "passing"
	StatusCritical = "critical"
)

// Ids of checks.
const (
	HealthCheckID          = "serfHealth"        // whether the node is up
	NodeMaintenanceCheckID = "_node_maintenance" // critical while the node is in maintenance
)

// HealthCheckName is the name of the check HealthCheckID.
const HealthCheckName = "Serf Health Status"

// Registration is the body of PUT /v1/catalog/register.
type Registration struct {
	Datacenter string
	ID         string
	Node       string
	Address    string
	NodeMeta   map[string]string
	Service    *Service
	Check      *Check
}

// Deregistration is the body of PUT /v1/catalog/deregister.
type Deregistration struct {
	Node      string
	ServiceID string
}

// MaxResponseSize bounds a response from Consul, in bytes.
const MaxResponseSize = 64 << 20

// Keys of metadata. A node's describe the machine, a service's what was available there a while ago.
const (
	MetaMachineType = "kind"
	MetaZone        = "zone"
	MetaRack        = "rack"
	MetaOS          = "os"
	MetaArch        = "arch"
	LabelPrefix     = "label-" // of labels for placement constraints, in the node's

	MetaStarted    = "started"     // microseconds since the Unix epoch
	MetaFreeCores  = "free-cores"  // may be below 0
	MetaFreeMemory = "free-memory" // GiB; may be below 0
)
