// Package merger merges the responses of several shards into one result.
package merger

import (
	"bytes"
	"slices"

	"wigeonspindle.example/wigeonspindle"
)

// RecordSize is the size of a record in bytes.
const RecordSize = 16

// Merge returns the greatest records of all parts in descending order, at most top of them. A
// trailing fragment of a part that is shorter than a record is ignored. The parameter missing is
// the number of shards without a response.
func Merge(parts []*wigeonspindle.Response, missing, top int) *wigeonspindle.MergedResponse {
	merged := &wigeonspindle.MergedResponse{MissingShards: missing}
	count := 0
	for _, part := range parts {
		count += len(part.Body) / RecordSize
	}
	records := make([][]byte, 0, count)
	for _, part := range parts {
		merged.Signatures = append(merged.Signatures, part.Signature)
		for body := part.Body; len(body) >= RecordSize; body = body[RecordSize:] {
			records = append(records, body[:RecordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(top, len(records))]
	merged.Body = make([]byte, 0, len(records)*RecordSize)
	for _, record := range records {
		merged.Body = append(merged.Body, record...)
	}
	return merged
}
