// Package storer is the client of the platform's key-value service.
package storer

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// callTimeout limits Get and CompareAndSwap; Watch lasts until its context ends.
const callTimeout = 2 * time.Second

// Storer implements wigeonspindle.Store over HTTP.
type Storer struct {
	Address string

	client http.Client
}

// Get returns the record of a key.
func (s *Storer) Get(ctx context.Context, key string) (wigeonspindle.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.do(ctx, http.MethodGet, "/kv/"+url.PathEscape(key), key, nil)
}

// CompareAndSwap writes the record if the key still has the record's version.
func (s *Storer) CompareAndSwap(ctx context.Context, record wigeonspindle.Record) (wigeonspindle.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := fmt.Sprintf("/kv/%s?version=%d", url.PathEscape(record.Key), record.Version)
	written, err := s.do(ctx, http.MethodPut, path, record.Key, record.Value)
	var refusal *wigeonspindle.Refusal
	if err != nil && !errors.As(err, &refusal) {
		// The write may have taken effect although its answer was lost.
		err = &wigeonspindle.Refusal{Code: wigeonspindle.CodeUnavailable, Verdict: wigeonspindle.MayHaveRun, Message: err.Error()}
	}
	written.Value = record.Value
	return written, err
}

// Watch waits until the version of the key exceeds after.
func (s *Storer) Watch(ctx context.Context, key string, after uint64) (wigeonspindle.Record, error) {
	return s.do(ctx, http.MethodGet, fmt.Sprintf("/watch/%s?after=%d", url.PathEscape(key), after), key, nil)
}

func (s *Storer) do(ctx context.Context, method, path, key string, body []byte) (wigeonspindle.Record, error) {
	record := wigeonspindle.Record{Key: key}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.Address+path, bytes.NewReader(body))
	if err != nil {
		return record, errors.Wrap(err, "build store request")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return record, errors.Wrapf(err, "store %s %s", method, key)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return record, &wigeonspindle.Refusal{
			Code: wigeonspindle.CodeConflict, Verdict: wigeonspindle.NotRun, Message: "the key has another version",
		}
	default:
		return record, errors.Newf("store %s %s: status %d", method, key, response.StatusCode)
	}
	value, err := encoder.DecodeStoreValue(response.Body)
	if err != nil {
		return record, errors.Wrapf(err, "store %s %s", method, key)
	}
	record.Value, record.Version = value.Value, value.Version
	return record, nil
}
