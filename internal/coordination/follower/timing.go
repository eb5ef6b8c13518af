package follower

import "time"

// Times from a change of the registry until it is in force at a host that can reach the registry, whatever the relays
// of the host do. The relay read the registry right before the change. It answers with its state until that has MaxAge;
// if it stops answering, the host gives it up RelayPatience later. One more relay may be tried for RelayPatience. Then
// the host lists the registry itself, within ListAllowance:
//
//	MaxAge + RelayPatience + RelayPatience + ListAllowance = 2.9 s
//
// The tightest limit for acting on a change is 3 s.
const (
	// PollInterval is the time between two requests of a relay to the registry. Replicas update the registry
	// constantly, so a request as soon as there is a change would cost one call for each change.
	PollInterval = 800 * time.Millisecond
	// RegistryWait is how long one request to the registry waits for a change.
	RegistryWait = 200 * time.Millisecond
	// MaxAge is the age from which state is neither passed on nor accepted from a relay. A relay has an
	// answer of the registry each PollInterval + RegistryWait, and a slow registry takes 250 ms longer.
	MaxAge = 1500 * time.Millisecond
	// RelayPatience is how long a relay may take to answer beyond the time for which it waits for a change: a connect
	// and a request to another region, or a relay that is short of processor time.
	RelayPatience = 200 * time.Millisecond
	// DirectAge is the age from which a host tries no further relay and asks the registry itself, if that
	// answers it.
	DirectAge = MaxAge + RelayPatience
	// lastRelayAge is the age at which a read from a relay is given up if the registry answers this host.
	lastRelayAge = DirectAge + RelayPatience
	// ListAllowance is the time in which a registry that is not slow sends its whole content.
	ListAllowance = time.Second
)

// checkInterval is how often a host looks whether the registry has answered its other calls, for as long as
// RelayPatience.
const checkInterval = 20 * time.Millisecond

// staleRetry is when a relay that had no state to pass on is asked again by a host that the registry answers. It is longer
// than the relay needs to list the registry.
const staleRetry = 100 * time.Millisecond
