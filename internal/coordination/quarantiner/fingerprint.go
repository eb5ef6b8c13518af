package quarantiner

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"wigeonspindle.example/wigeonspindle"
)

// Fingerprint identifies the calls that count as the same one when replicas crash.
type Fingerprint struct {
	Hash uint64
	// Wide reports that the hash leaves out the caller or the query, so that different calls with it may be in progress at
	// the same time.
	Wide bool
	// AnyQuery reports that the hash leaves out the query.
	AnyQuery bool
}

// Fingerprints returns the fingerprints of a call, the most specific first. A call that crashes replicas may come again from
// another caller or with another query, so there is one fingerprint for each combination of the two left out or not. Where
// the caller or the query makes the difference, the answers to other calls withdraw the suspicions against the
// fingerprints that leave it out.
func Fingerprints(call *wigeonspindle.Call) []Fingerprint {
	body := xxhash.Sum64(call.Body)
	fingerprints := []Fingerprint{
		{Hash: hash(body, call.Caller, call.Method, call.Authority, call.RequestURI)},
		{Hash: hash(body, call.Method, call.Authority, call.RequestURI), Wide: true},
	}
	if path, _, ok := strings.Cut(call.RequestURI, "?"); ok {
		fingerprints = append(fingerprints,
			Fingerprint{Hash: hash(body, call.Caller, call.Method, call.Authority, path), Wide: true, AnyQuery: true},
			Fingerprint{Hash: hash(body, call.Method, call.Authority, path), Wide: true, AnyQuery: true})
	}
	return fingerprints
}

// contentOf returns the most specific wide fingerprint, which does not depend on the caller, or the first one if there is
// none.
func contentOf(fingerprints []Fingerprint) Fingerprint {
	for _, fingerprint := range fingerprints {
		if fingerprint.Wide {
			return fingerprint
		}
	}
	return fingerprints[0]
}

// hash hashes the hash of a body and other parts of a call.
func hash(body uint64, parts ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(part) // The digest never returns an error.
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, body))
	return digest.Sum64()
}
