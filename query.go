package wigeonspindle

import "time"

// Class defines whether a request may be repeated.
type Class string

const (
	// ClassIdempotent requests may be retried and hedged.
	ClassIdempotent Class = "idempotent"
	// ClassOnce requests run at most once; only attempts with verdict NotRun are retried.
	ClassOnce Class = "once"
)

// Identity identifies a once request and the only host incarnation that may run it.
type Identity struct {
	Incarnation Incarnation `json:"incarnation"`
	Issued      time.Time   `json:"issued"`
	Nonce       string      `json:"nonce"`
}

// Query is one request of a caller over the shards of an index.
type Query struct {
	// ID is unique per host process and is assigned at admission.
	ID     uint64
	Trace  string // Trace identifies the query in the time line over all hosts.
	Caller string
	Index  string
	// Shards restricts the query; empty means every shard of the pinned snapshot.
	Shards      []string
	Body        []byte
	Class       Class
	Identity    Identity // Identity is set for ClassOnce only.
	Arrived     time.Time
	Deadline    time.Time
	Fingerprint uint64 // Fingerprint hashes the index and the body.
}

// ShardResult is the answer of one shard.
type ShardResult struct {
	Shard string `json:"shard"`
	Body  []byte `json:"body"`
}

// Coverage counts the shards of the pinned snapshot that answered.
type Coverage struct {
	Answered int      `json:"answered"`
	Total    int      `json:"total"`
	Missing  []string `json:"missing,omitempty"`
}

// Complete reports whether every shard answered.
func (c Coverage) Complete() bool { return c.Answered == c.Total }

// Answer is the merged answer to a query, or its refusal.
type Answer struct {
	ID       uint64        `json:"-"`
	Trace    string        `json:"trace"`
	Snapshot string        `json:"snapshot,omitempty"`
	Verdict  Verdict       `json:"verdict"`
	Coverage Coverage      `json:"coverage"`
	Results  []ShardResult `json:"results,omitempty"`
	// Attempts is the number of attempts sent to targets, hedges and retries included.
	Attempts int      `json:"attempts"`
	Hedges   int      `json:"hedges"`
	Refusal  *Refusal `json:"refusal,omitempty"`
}
