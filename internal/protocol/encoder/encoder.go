// Package encoder defines the JSON formats exchanged with callers, operators, the key-value
// service and the host list, and the headers of the targets' protocol. Requests are decoded
// strictly.
package encoder

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Decode decodes exactly one JSON value and rejects unknown fields and trailing data.
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

// DecodeBytes is like Decode for a byte slice.
func DecodeBytes(data []byte, value any) error { return Decode(bytes.NewReader(data), value) }
