package wigeonspindle

import "time"

// Catalog is one version of the operators' routes and pools. It is immutable once published.
type Catalog struct {
	Version uint64 // Version only grows.
	Routes  []Route
	Pools   map[string]Pool
	Limits  CallLimits
}

// Route defines how the calls to one authority and path prefix are served. Either Shards or
// Split is set.
type Route struct {
	Name      string
	Authority string // Authority is the host name that callers ask for.
	Prefix    string // Prefix begins and ends with a slash.
	Class     Class
	Timeout   time.Duration // Timeout is the longest time that a caller is kept waiting.
	Aim       time.Duration // Aim is the latency objective.
	Priority  int           // Priority is the rank of the route; 0 is the most urgent.
	Attempts  int           // Attempts bounds the replicas of one pool that may run a call.
	Split     []Share       // Split distributes the calls over pools; one replica answers each.
	Shards    []string      // Shards names the pool of each shard; one replica of each answers a part.
	Top       int           // Top is the number of records in a merged answer.
	Coverage  float64       // Coverage is the smallest share of the shards in a successful answer.
}

// Share is the part of a route's calls that one pool serves.
type Share struct {
	Pool   string
	Weight float64
}

// Pool is a group of interchangeable replicas.
type Pool struct {
	Name        string
	Connections int // Connections is the number that one replica accepts from all hosts together.
	// WarmupRate is the load that a cold replica can take, in requests per second of all
	// hosts together; 0 means no limit.
	WarmupRate float64
}

// CallLimits bound what a caller may send.
type CallLimits struct {
	Header        int // Header is the largest size of all header fields, in bytes.
	Body          int // Body is the largest size of a request body, in bytes.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
