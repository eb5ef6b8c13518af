package merger_test

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/merger"
)

// record returns a record that starts with the letter.
func record(letter string) string { return letter + "---------------" }

// TestMerge guards against a merge that loses, reorders, duplicates or invents records.
func TestMerge(t *testing.T) {
	for _, test := range []struct {
		name  string
		parts []string
		top   int
		want  string
	}{
		{name: "none", top: 2},
		{name: "greatest first", parts: []string{record("a") + record("c"), record("b")}, top: 3, want: record("c") + record("b") + record("a")},
		{name: "truncated to top", parts: []string{record("a"), record("c"), record("b")}, top: 2, want: record("c") + record("b")},
		{name: "equal records are kept", parts: []string{record("a"), record("a")}, top: 5, want: record("a") + record("a")},
		{name: "trailing fragment", parts: []string{record("a") + "zzz"}, top: 5, want: record("a")},
		{name: "empty part", parts: []string{"", record("b")}, top: 5, want: record("b")},
	} {
		t.Run(test.name, func(t *testing.T) {
			var parts []*wigeonspindle.Response
			var signatures []string
			for i, body := range test.parts {
				signature := string(rune('0' + i))
				signatures = append(signatures, signature)
				parts = append(parts, &wigeonspindle.Response{Signature: signature, Body: []byte(body)})
			}
			merged := merger.Merge(parts, 1, test.top)
			if got := string(merged.Body); got != test.want {
				t.Errorf("body: got %q, want %q", got, test.want)
			}
			if !slices.Equal(merged.Signatures, signatures) {
				t.Errorf("signatures: got %v, want %v", merged.Signatures, signatures)
			}
			if got, want := merged.MissingShards, 1; got != want {
				t.Errorf("missing shards: got %d, want %d", got, want)
			}
		})
	}
}

// TestTrim guards against a large part that loses records which belong to the greatest ones.
func TestTrim(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, top := range []int{-1, 0, 1, 7, 1000, 5000, 20000} {
		var parts, trimmed []*wigeonspindle.Response
		for i := range 3 {
			body := make([]byte, []int{100, 40000, 160005}[i])
			for j := range body {
				body[j] = byte(random.IntN(4)) // Some records are equal.
			}
			parts = append(parts, &wigeonspindle.Response{Signature: string(rune('a' + i)), Body: body})
			trimmed = append(trimmed, merger.Trim(parts[i], top))
			if got, limit := len(trimmed[i].Body), max(top*merger.RecordSize, 16<<10); got > limit+merger.RecordSize-1 {
				t.Errorf("trimmed part for %d records: got %d bytes, want at most %d", top, got, limit)
			}
		}
		if got, want := merger.Merge(trimmed, 0, max(top, 0)), merger.Merge(parts, 0, max(top, 0)); !bytes.Equal(got.Body, want.Body) || !slices.Equal(got.Signatures, want.Signatures) {
			t.Errorf("greatest %d records: got other ones than without trimming, want the same", top)
		}
	}
}
