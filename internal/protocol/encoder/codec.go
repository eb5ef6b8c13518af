package encoder

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// JSONCodec implements wigeonspindle.Codec with JSON.
type JSONCodec struct{}

// Encode returns the JSON encoding of a document.
func (JSONCodec) Encode(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	return data, errors.Wrap(err, "encode document")
}

// Decode decodes a document. It ignores unknown fields, because hosts of two versions read
// the same store during a rolling upgrade.
func (JSONCodec) Decode(data []byte, value any) error {
	return errors.Wrap(json.Unmarshal(data, value), "decode document")
}
