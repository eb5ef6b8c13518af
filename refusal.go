package wigeonspindle

import (
	"errors"
	"fmt"
)

// ErrMemory reports that a request or an answer has given way to others because the memory that a host reserves for them
// is used up.
var ErrMemory = errors.New("the memory for requests is used up")

// Code classifies a refusal or a failed attempt.
type Code string

// Codes of refusals towards callers and operators and of failed attempts.
const (
	CodeInvalid     Code = "invalid"     // The message is malformed or names something unknown.
	CodeTooLarge    Code = "too-large"   // The body exceeds the configured limit.
	CodeExpired     Code = "expired"     // The deadline has passed or cannot be met.
	CodeOverloaded  Code = "overloaded"  // A queue, a ring or a fair share is exhausted.
	CodeLeaving     Code = "leaving"     // The host or target is shutting down or taken out.
	CodeNotOwner    Code = "not-owner"   // The host holds no lease on the target.
	CodeNoSnapshot  Code = "no-snapshot" // The target does not hold the pinned snapshot.
	CodeShed        Code = "shed"        // The target refused the attempt before running it.
	CodeUnreachable Code = "unreachable" // No connection to the target or host was possible.
	CodeBroken      Code = "broken"      // The connection failed after bytes were written.
	CodeSilent      Code = "silent"      // No data arrives on this connection, but the target answers on others.
	CodeCancelled   Code = "cancelled"   // The attempt was cancelled by its query.
	CodeFailed      Code = "failed"      // The target ran the request and reported an error.
	CodeQuarantined Code = "quarantined" // The request has crashed targets.
	CodeUnavailable Code = "unavailable" // No replica can serve the shard, or no configuration is known.
	CodeConflict    Code = "conflict"    // The expected revision is not the current one.
	CodeDuplicate   Code = "duplicate"   // The identity was seen before and its outcome is not known.
	CodeDenied      Code = "denied"      // The credentials are missing or wrong.
	CodeGone        Code = "gone"        // The incarnation named by the identity is not reachable.
)

// Refusal is the error returned instead of an answer.
type Refusal struct {
	Code    Code    `json:"code"`
	Verdict Verdict `json:"verdict"`
	// Field is the path of the invalid field, empty when no single field is at fault.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	// Faults lists every error of a refused configuration.
	Faults []Fault `json:"faults,omitempty"`
	// Addresses is the current address list, set when the caller should go elsewhere.
	Addresses []Address `json:"addresses,omitempty"`
}

// Error returns the refusal as one line.
func (r *Refusal) Error() string {
	if r.Field != "" {
		return fmt.Sprintf("%s (%s): %s: %s", r.Code, r.Verdict, r.Field, r.Message)
	}
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Verdict, r.Message)
}
