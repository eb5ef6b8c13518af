package encoder

// Headers of requests to targets and of their responses.
const (
	HeaderSnapshot = "Index-Snapshot"
	HeaderShard    = "Index-Shard"
	HeaderIdentity = "Request-Identity"
	// HeaderTimeout is the time that the target may spend on the request, in milliseconds with
	// a decimal fraction.
	HeaderTimeout = "Request-Timeout"
	// HeaderExpires is the time after which the request must not start, in Unix milliseconds.
	HeaderExpires = "Request-Expires"
	// HeaderRefused is set by a target that refuses a request without running it.
	HeaderRefused = "Request-Refused"
	// HeaderTargetStart identifies the run of the target's process.
	HeaderTargetStart = "Target-Start"
)

// Values of HeaderRefused.
const (
	RefusedShed     = "shed"
	RefusedSnapshot = "snapshot"
	RefusedDraining = "draining"
	RefusedExpired  = "expired"
)
