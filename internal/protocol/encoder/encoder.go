// Package encoder holds the JSON formats towards callers, targets, the key-value service
// and the host list, with strict decoding.
package encoder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
)

// QueryRequest is the body of a caller's POST /query.
type QueryRequest struct {
	Index  string                 `json:"index"`
	Shards []string               `json:"shards,omitempty"`
	Body   string                 `json:"body"`
	Class  wigeonspindle.Class    `json:"class,omitempty"`
	ID     string                 `json:"id,omitempty"` // ID is the identity of a once request.
	Caller string                 `json:"caller,omitempty"`
	Budget wigeonspindle.Duration `json:"budget"` // Budget is the time until the deadline.
}

// Limits of a query in the callers' format.
const (
	MaxBody   = 1 << 20
	MaxBudget = time.Minute
)

// DecodeQuery reads a caller's query. Its error is a Refusal that names the field.
func DecodeQuery(reader io.Reader, now time.Time) (wigeonspindle.Query, *wigeonspindle.Refusal) {
	var request QueryRequest
	if err := Decode(reader, &request); err != nil {
		return wigeonspindle.Query{}, invalid("", err.Error())
	}
	query := wigeonspindle.Query{
		Caller: request.Caller, Index: request.Index, Shards: request.Shards, Body: []byte(request.Body),
		Class: request.Class, Arrived: now, Deadline: now.Add(request.Budget.Value()),
	}
	if query.Class == "" {
		query.Class = wigeonspindle.Idempotent
	}
	verdict := wigeonspindle.NotRun
	if query.Class == wigeonspindle.Once {
		// The request may be a repeat, with no time left, of one that ran.
		verdict = wigeonspindle.MayHaveRun
	}
	switch {
	case query.Index == "":
		return query, invalid("index", "must name an index")
	case request.Budget <= 0 || request.Budget.Value() > MaxBudget:
		return query, &wigeonspindle.Refusal{
			Code: wigeonspindle.CodeExpired, Verdict: verdict, Field: "budget",
			Message: fmt.Sprintf("must be more than 0s and at most %s", MaxBudget),
		}
	case query.Class == wigeonspindle.Once:
		identity, err := ParseIdentity(request.ID)
		if err != nil {
			return query, invalid("id", err.Error())
		}
		query.Identity = identity
	case query.Class != wigeonspindle.Idempotent:
		return query, invalid("class", "must be idempotent or once")
	}
	return query, nil
}

// Decode reads exactly one JSON value and refuses unknown fields and trailing data.
func Decode(reader io.Reader, value any) error {
	decoder := json.NewDecoder(reader)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return errors.Wrap(err, "decode JSON")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("decode JSON: data follows the value")
	}
	return nil
}

// DecodeBytes is Decode on a byte slice.
func DecodeBytes(data []byte, value any) error { return Decode(bytes.NewReader(data), value) }

// FormatIdentity returns the text form of an identity.
func FormatIdentity(i wigeonspindle.Identity) string {
	return fmt.Sprintf("%s.%d.%s", i.Incarnation, i.Issued.UnixMilli(), i.Nonce)
}

// ParseIdentity reads the text form of an identity.
func ParseIdentity(text string) (wigeonspindle.Identity, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 || parts[0] == "" || parts[2] == "" || len(text) > 128 {
		return wigeonspindle.Identity{}, errors.New("must be an identity issued with an address answer")
	}
	issued, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return wigeonspindle.Identity{}, errors.New("must contain the issue time in milliseconds")
	}
	return wigeonspindle.Identity{
		Incarnation: wigeonspindle.Incarnation(parts[0]), Issued: time.UnixMilli(issued), Nonce: parts[2],
	}, nil
}

func invalid(field, message string) *wigeonspindle.Refusal {
	return &wigeonspindle.Refusal{
		Code: wigeonspindle.CodeInvalid, Verdict: wigeonspindle.NotRun, Field: field, Message: message,
	}
}

// Headers of the targets' protocol.
const (
	HeaderSnapshot = "Index-Snapshot"
	HeaderShard    = "Index-Shard"
	HeaderIdentity = "Request-Identity"
	// HeaderTimeout is the time that the target may spend, in milliseconds with decimals.
	HeaderTimeout = "Request-Timeout"
	// HeaderExpires is when the request must not start any more, in Unix milliseconds.
	HeaderExpires = "Request-Expires"
	// HeaderRefused is set by a target that refused the request before running it.
	HeaderRefused = "Request-Refused"
	// HeaderStart identifies the run of the target's process.
	HeaderStart = "Target-Start"
)

// Values of HeaderRefused.
const (
	RefusedShed     = "shed"
	RefusedSnapshot = "snapshot"
	RefusedDraining = "draining"
	RefusedExpired  = "expired"
)

// StoreValue is a value of the key-value service's protocol. A key that does not exist has
// version 0.
type StoreValue struct {
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}
