// Package consul decodes and encodes the endpoint list in the format of Consul's HTTP API, as published at
// developer.hashicorp.com/consul/api-docs: /v1/health/service/:service with blocking queries, and /v1/catalog/register.
// The package is pure: the client is server/listwatch, and emulator/consul emulates the service.
//
//	consul.go  JSON types of the API
//	host.go    conversion of these types to hosts and back
package consul

// Entry is an element of the response to /v1/health/service/:service.
type Entry struct {
	Node    Node
	Service Service
	Checks  []Check
}

// Node is the machine on which a service is registered.
type Node struct {
	ID         string
	Node       string // name of the node
	Address    string
	Datacenter string
	Meta       map[string]string
}

// Service is the registration of a service on a node.
type Service struct {
	ID      string
	Service string // name of the service
	Address string // if empty, the service has the address of its node
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

// Statuses of a health check.
const (
	StatusPassing  = "passing"
	StatusCritical = "critical"
)

// IDs of health checks.
const (
	HealthCheckID          = "serfHealth"        // check that is passing while the node is up
	NodeMaintenanceCheckID = "_node_maintenance" // check that is critical while the node is in maintenance
)

// HealthCheckName is the name of the health check HealthCheckID.
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

// MaxResponseSize is the maximum size of a response from Consul, in bytes.
const MaxResponseSize = 64 << 20

// Keys of metadata. The keys of the first group are in the node's metadata and describe the machine. Those of the
// second group are in the service's metadata: the start of the host, and the resources that were available on the host
// a while ago.
const (
	MetaMachineType = "kind"
	MetaZone        = "zone"
	MetaRack        = "rack"
	MetaOS          = "os"
	MetaArch        = "arch"
	LabelPrefix     = "label-" // prefix of the labels for placement constraints

	MetaStarted    = "started"     // microseconds since the Unix epoch
	MetaFreeCores  = "free-cores"  // may be negative
	MetaFreeMemory = "free-memory" // GiB; may be negative
)
