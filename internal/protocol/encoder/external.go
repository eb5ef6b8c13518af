package encoder

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/validator"
)

// StoreValue is a value as the key-value service encodes it. A missing key has version 0.
type StoreValue struct {
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Size limits of documents from other systems, in bytes.
const (
	// maxValueBytes is the largest value of the key-value service.
	maxValueBytes = 1 << 20
	// maxStoreAnswerBytes leaves room for the base64 encoding of a value and for the other
	// fields.
	maxStoreAnswerBytes = 2 * maxValueBytes
	// maxHostListBytes is the largest host list.
	maxHostListBytes = 8 << 20
)

// DecodeStoreValue decodes an answer of the key-value service.
func DecodeStoreValue(reader io.Reader) (StoreValue, error) {
	var value StoreValue
	if err := json.NewDecoder(io.LimitReader(reader, maxStoreAnswerBytes)).Decode(&value); err != nil {
		return StoreValue{}, errors.Wrap(err, "decode store value")
	}
	if len(value.Value) > maxValueBytes {
		return StoreValue{}, errors.Newf("decode store value: value exceeds %d bytes", maxValueBytes)
	}
	return value, nil
}

// DecodeHostList decodes the host list. It skips entries without a name or a usable link
// address, because one bad entry must not hide the other hosts.
func DecodeHostList(reader io.Reader) ([]wigeonspindle.ListedHost, error) {
	var hosts []wigeonspindle.ListedHost
	if err := json.NewDecoder(io.LimitReader(reader, maxHostListBytes)).Decode(&hosts); err != nil {
		return nil, errors.Wrap(err, "decode host list")
	}
	usable := make([]wigeonspindle.ListedHost, 0, len(hosts))
	for _, host := range hosts {
		if host.Name != "" && validator.IsAddress(host.LinkAddress) {
			usable = append(usable, host)
		}
	}
	return usable, nil
}
