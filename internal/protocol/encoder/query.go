package encoder

import (
	"fmt"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

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

// Limits of a caller's query.
const (
	MaxBodyBytes = 1 << 20 // MaxBodyBytes is the default size limit of a request body, in bytes.
	MaxBudget    = time.Minute
	MaxShards    = 4096
	MaxNameBytes = 128 // MaxNameBytes is the length limit of names in requests.
)

// DecodeQuery decodes and validates a caller's query. The refusal names the invalid field.
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
		query.Class = wigeonspindle.ClassIdempotent
	}
	verdict := wigeonspindle.NotRun
	if query.Class == wigeonspindle.ClassOnce {
		// A once request whose budget is exhausted may repeat one that has already run.
		verdict = wigeonspindle.MayHaveRun
	}
	switch {
	case query.Index == "" || len(query.Index) > MaxNameBytes:
		return query, invalidField("index", "must name an index")
	case len(query.Caller) > MaxNameBytes:
		return query, invalidField("caller", fmt.Sprintf("must have at most %d bytes", MaxNameBytes))
	case !distinctNames(query.Shards):
		return query, invalidField("shards", fmt.Sprintf("must be at most %d different names", MaxShards))
	case request.Budget <= 0 || request.Budget.Value() > MaxBudget:
		return query, &wigeonspindle.Refusal{
			Code: wigeonspindle.CodeExpired, Verdict: verdict, Field: "budget",
			Message: fmt.Sprintf("must be more than 0s and at most %s", MaxBudget),
		}
	case query.Class == wigeonspindle.ClassOnce:
		identity, err := ParseIdentity(request.ID)
		if err != nil {
			return query, invalidField("id", err.Error())
		}
		query.Identity = identity
	case query.Class != wigeonspindle.ClassIdempotent:
		return query, invalidField("class", "must be idempotent or once")
	case request.ID != "":
		return query, invalidField("id", "is accepted for class once only")
	}
	return query, nil
}

// decodeRequest decodes the body of a query. Invalid UTF-8 is refused, because the JSON
// decoder would replace the invalid bytes and the targets would run a different request.
func decodeRequest(reader io.Reader, request *QueryRequest) *wigeonspindle.Refusal {
	data, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &wigeonspindle.Refusal{
			Code: wigeonspindle.CodeTooLarge, Verdict: wigeonspindle.NotRun,
			Message: fmt.Sprintf("the request body exceeds %d bytes", tooLarge.Limit),
		}
	case errors.Is(err, wigeonspindle.ErrMemory):
		return &wigeonspindle.Refusal{Code: wigeonspindle.CodeOverloaded, Verdict: wigeonspindle.NotRun, Message: err.Error()}
	case err != nil:
		return invalidField("", "the request body was not received: "+err.Error())
	case !utf8.Valid(data):
		return invalidField("", "the request body is not UTF-8")
	}
	if err := DecodeBytes(data, request); err != nil {
		return invalidField("", err.Error())
	}
	return nil
}

// distinctNames reports whether there are at most MaxShards names, all of a valid length and
// different. A repeated shard would be counted twice in the coverage.
func distinctNames(names []string) bool {
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if name == "" || len(name) > MaxNameBytes || seen[name] {
			return false
		}
		seen[name] = true
	}
	return len(names) <= MaxShards
}

func invalidField(field, message string) *wigeonspindle.Refusal {
	return &wigeonspindle.Refusal{
		Code: wigeonspindle.CodeInvalid, Verdict: wigeonspindle.NotRun, Field: field, Message: message,
	}
}
