package wigeonspindle

import "time"

// Incarnation identifies one run of a host process. It is random and never reused.
type Incarnation string

// Host is one process of the query tier.
type Host struct {
	Name          string      `json:"name"`
	Incarnation   Incarnation `json:"incarnation"`
	Domain        string      `json:"domain"`
	Cell          string      `json:"cell"`
	CallerAddress string      `json:"caller"` // CallerAddress is that of the callers' listener.
	LinkAddress   string      `json:"link"`   // LinkAddress is that of the listener for other hosts.
	AdminAddress  string      `json:"admin"`  // AdminAddress is that of the operators' listener.
}

// Condition is the state of a host as the failure detector sees it.
type Condition string

// Conditions of a host.
const (
	ConditionLive        Condition = "live"
	ConditionSuspect     Condition = "suspect" // ConditionSuspect hosts missed heartbeats.
	ConditionPartitioned Condition = "cut"     // ConditionPartitioned hosts are heard by others but not by this host.
	ConditionLeaving     Condition = "leaving" // ConditionLeaving hosts announced a planned stop.
	ConditionGone        Condition = "gone"    // ConditionGone hosts stopped or have been silent for too long.
)

// Member is a host with its condition.
type Member struct {
	Host          Host      `json:"host"`
	Condition     Condition `json:"condition"`
	LastHeartbeat time.Time `json:"heard"` // LastHeartbeat is when it arrived.
	// Dead reports that the silent host's address refuses connections, so that its process
	// has ended. A frozen host's address still accepts connections.
	Dead bool `json:"dead,omitempty"`
}

// MembershipView is an immutable membership view of one cell.
type MembershipView struct {
	Self    Host     `json:"self"`
	Members []Member `json:"members"` // Members are sorted by host name and include the host itself.
}

// ListedHost is one entry of the platform's list of hosts.
type ListedHost struct {
	Name        string `json:"name"`
	LinkAddress string `json:"link"`
	Leaving     bool   `json:"leaving"`
}

// Address is one entry of the answer to a caller that asks where to connect.
type Address struct {
	Address     string      `json:"address"`
	Domain      string      `json:"domain"`
	Incarnation Incarnation `json:"incarnation"`
}

// AddressAnswer tells a caller which addresses to use and for how long.
type AddressAnswer struct {
	Addresses []Address `json:"addresses"`
	TTL       Duration  `json:"ttl"`
	// Identity is a fresh identity for a once request sent to the first address.
	Identity string `json:"identity"`
}
