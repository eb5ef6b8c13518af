// Package encoder holds the JSON formats towards callers, targets, the key-value service
// and the host list, with strict decoding.
package encoder

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

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
