// Package encoder holds the JSON formats towards callers, targets, the key-value service
// and the host list, with strict decoding.
package encoder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/validator"
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
	MaxBody   = 1 << 20 // MaxBody is the default size limit of a request body, in bytes.
	MaxBudget = time.Minute
	MaxShards = 4096
	MaxName   = 128 // MaxName is the length limit of names given by callers.
)

// DecodeQuery reads a caller's query. Its error is a Refusal that names the field.
func DecodeQuery(reader io.Reader, now time.Time) (wigeonspindle.Query, *wigeonspindle.Refusal) {
	var request QueryRequest
	if refusal := decodeRequest(reader, &request); refusal != nil {
		return wigeonspindle.Query{}, refusal
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
	case query.Index == "" || len(query.Index) > MaxName:
		return query, invalid("index", "must name an index")
	case len(query.Caller) > MaxName:
		return query, invalid("caller", fmt.Sprintf("must have at most %d bytes", MaxName))
	case !distinctNames(query.Shards):
		return query, invalid("shards", fmt.Sprintf("must be at most %d different names", MaxShards))
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
	case request.ID != "":
		return query, invalid("id", "is accepted for class once only")
	}
	return query, nil
}

// decodeRequest reads the body of a query. Text that is not UTF-8 is refused because the
// JSON decoder would replace bytes of it, and the targets would run another request.
func decodeRequest(reader io.Reader, request *QueryRequest) *wigeonspindle.Refusal {
	data, err := io.ReadAll(reader)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &wigeonspindle.Refusal{
			Code: wigeonspindle.CodeTooLarge, Verdict: wigeonspindle.NotRun,
			Message: fmt.Sprintf("the request body exceeds %d bytes", large.Limit),
		}
	case err != nil:
		return invalid("", "the request body was not received: "+err.Error())
	case !utf8.Valid(data):
		return invalid("", "the request body is not UTF-8")
	}
	if err := DecodeBytes(data, request); err != nil {
		return invalid("", err.Error())
	}
	return nil
}

// distinctNames reports whether the names are few, not empty and all different. A repeated
// shard would be counted twice in the coverage.
func distinctNames(names []string) bool {
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if name == "" || len(name) > MaxName || seen[name] {
			return false
		}
		seen[name] = true
	}
	return len(names) <= MaxShards
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

// noncePattern accepts the characters that the hosts use in identities; none of them needs
// escaping in a header.
var noncePattern = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// ParseIdentity reads the text form of an identity. Only the form that FormatIdentity
// writes is accepted, so that one identity has one text.
func ParseIdentity(text string) (wigeonspindle.Identity, error) {
	parts := strings.Split(text, ".")
	if len(text) > MaxName || len(parts) != 3 || !noncePattern.MatchString(parts[0]) || !noncePattern.MatchString(parts[2]) {
		return wigeonspindle.Identity{}, errors.New("must be an identity issued with an address answer")
	}
	issued, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || strconv.FormatInt(issued, 10) != parts[1] {
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

// Limits of documents read from outside systems.
const (
	// maxValue is the largest value of the key-value service, in bytes.
	maxValue = 1 << 20
	// maxEnvelope allows for the base64 form of a value and the other fields.
	maxEnvelope = 2 * maxValue
	// maxListings bounds the host list, in bytes.
	maxListings = 8 << 20
)

// DecodeStoreValue reads an answer of the key-value service.
func DecodeStoreValue(reader io.Reader) (StoreValue, error) {
	var value StoreValue
	if err := json.NewDecoder(io.LimitReader(reader, maxEnvelope)).Decode(&value); err != nil {
		return StoreValue{}, errors.Wrap(err, "decode store value")
	}
	if len(value.Value) > maxValue {
		return StoreValue{}, errors.Newf("decode store value: more than %d bytes", maxValue)
	}
	return value, nil
}

// DecodeListings reads the host list. Entries without a name or a usable link address are
// left out, because one bad entry must not hide the other hosts.
func DecodeListings(reader io.Reader) ([]wigeonspindle.Listing, error) {
	var listings []wigeonspindle.Listing
	if err := json.NewDecoder(io.LimitReader(reader, maxListings)).Decode(&listings); err != nil {
		return nil, errors.Wrap(err, "decode host list")
	}
	usable := make([]wigeonspindle.Listing, 0, len(listings))
	for _, listing := range listings {
		if listing.Name != "" && validator.IsAddress(listing.Link) {
			usable = append(usable, listing)
		}
	}
	return usable, nil
}
