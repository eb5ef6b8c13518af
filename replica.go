package wigeonspindle

import "time"

// Replica is one run of a target process. It is immutable once published.
type Replica struct {
	ID       string
	Pool     string
	Address  string
	Domain   string
	Slots    int // Slots is the number of requests that run at a time.
	Draining bool
	// WarmAt is when the replica stops being cold, by the clock of this host.
	WarmAt      time.Time
	StartUnixMs int64  // StartUnixMs is the start of the process; 0 when unknown.
	Sequence    uint64 // Sequence orders the entries of one run.
}

// Reachability is what an attempt to connect to a replica has shown.
type Reachability uint8

// Outcomes of an attempt to connect.
const (
	Reachable   Reachability = iota // Reachable replicas accept connections.
	Unreachable                     // Unreachable replicas do not answer; the replica or the network may have failed.
	Ended                           // Ended replicas have no process any more: their address refuses connections.
)

// AcceptsWork reports whether the replica may receive new work while some failure domains are out.
func (r *Replica) AcceptsWork(out map[string]bool) bool { return !r.Draining && !out[r.Domain] }

// Peer is a host as its own entry in the registry describes it.
type Peer struct {
	Name          string `json:"name"`
	CallerAddress string `json:"caller"` // CallerAddress is that of the callers' listener.
	LinkAddress   string `json:"link"`   // LinkAddress is that of the listener for other hosts.
	Domain        string `json:"domain"`
	// Capacity is the processor time that the host may use, in cores.
	Capacity float64 `json:"capacity"`
}

// DeploymentState is a host's view of its deployment. It is immutable once published.
type DeploymentState struct {
	Catalog      *Catalog              // Catalog is nil before the first version arrived.
	Replicas     map[string][]*Replica // Replicas holds the replicas of each pool.
	OutDomains   map[string]bool       // OutDomains holds the failure domains that receive no new work.
	Peers        []Peer                // Peers are sorted by name and include the host itself.
	ServingPeers []Peer                // ServingPeers are the peers to which callers are sent.
	// Suspicions are those that other hosts reported.
	Suspicions []Suspicion
	// UnlistedSuspicions are those of Suspicions that the registry lacks since it came back from a copy.
	UnlistedSuspicions []Suspicion
	RegistrySeen       time.Time // RegistrySeen is when the registry last answered.
}

// ReplicaIDs returns the IDs of all replicas.
func (s *DeploymentState) ReplicaIDs() map[string]bool {
	ids := make(map[string]bool)
	for _, replicas := range s.Replicas {
		for _, replica := range replicas {
			ids[replica.ID] = true
		}
	}
	return ids
}

// Subject says what an update is about.
type Subject uint8

// Subjects of updates.
const (
	SubjectOther   Subject = iota // SubjectOther is an entry that concerns no host.
	SubjectCatalog                // SubjectCatalog is the operators' configuration.
	SubjectReplica
	SubjectDomain // SubjectDomain is a failure domain that is out of service.
	SubjectPeer
	SubjectSuspicion // SubjectSuspicion is a call that may crash replicas.
)

// RegistryUpdate is one entry of the registry, or its removal.
type RegistryUpdate struct {
	Subject Subject
	Name    string // Name is the replica's ID, the name of the domain or host, or that of a suspicion.
	Removed bool   // Removed reports that the entry was removed.
	Catalog *Catalog
	Replica *Replica // Replica is nil in an entry that names no usable replica.
	Peer    Peer
	// Suspicion is set in the entry of a call that may crash replicas.
	Suspicion Suspicion
	// Fault says why the entry is ignored, and names the field and the accepted range; it is empty if the
	// entry is valid.
	Fault string
}

// RegistryBatch holds entries of the registry, or changes of them.
type RegistryBatch struct {
	Updates  []RegistryUpdate
	Revision uint64 // Revision is the one after which Follow returns the next changes.
	// Era counts how often the registry has come back from a copy; 0 when it does not say so. Revisions of
	// different eras cannot be compared.
	Era uint64
	// Age is how old the content is: 0 from the registry itself, more from another host.
	Age time.Duration
	// Settled reports that the content holds only entries that the registry confirmed. After
	// an outage of the registry, hosts keep entries that it no longer lists for some time.
	Settled bool
}
