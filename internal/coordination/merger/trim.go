package merger

import (
	"bytes"
	"container/heap"

	"wigeonspindle.example/wigeonspindle"
)

// maxUntrimmedBytes is the size up to which a part is kept as it is until the parts are merged.
const maxUntrimmedBytes = 16 << 10

// Trim returns a part that holds no more records of a large response than Merge can use, so that the
// response need not be kept until the other shards have answered.
func Trim(part *wigeonspindle.Response, top int) *wigeonspindle.Response {
	if len(part.Body) <= maxUntrimmedBytes || len(part.Body)/RecordSize <= top {
		return part
	}
	var greatest leastFirst
	for body := part.Body; len(body) >= RecordSize && top > 0; body = body[RecordSize:] {
		switch record := body[:RecordSize]; {
		case len(greatest) < top:
			heap.Push(&greatest, record)
		case bytes.Compare(record, greatest[0]) > 0:
			greatest[0] = record
			heap.Fix(&greatest, 0)
		}
	}
	trimmed := *part
	trimmed.Body = bytes.Join(greatest, nil)
	return &trimmed
}

// leastFirst is a heap of records with the least one on top.
type leastFirst [][]byte

// Len implements sort.Interface.
func (r leastFirst) Len() int { return len(r) }

// Less implements sort.Interface.
func (r leastFirst) Less(i, j int) bool { return bytes.Compare(r[i], r[j]) < 0 }

// Swap implements sort.Interface.
func (r leastFirst) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *leastFirst) Push(record any) { *r = append(*r, record.([]byte)) }

// Pop implements heap.Interface.
func (r *leastFirst) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}
