package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/validator"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// maxResponseBytes bounds the body of an API response. The largest response is a full event
// history.
const maxResponseBytes = 64 << 20

// clientOptions holds the options of commands that send requests to a host.
type clientOptions struct {
	Address string        `long:"address" env:"WIGEONSPINDLE_ADDRESS" value-name:"IP:PORT" description:"operators' address of a host"`
	Token   string        `long:"token" env:"WIGEONSPINDLE_TOKEN" default-mask:"-" description:"operators' bearer token; the variable keeps it out of the process list"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"time after which the command gives up"`
}

// withTimeout returns a context that expires after the configured timeout.
func (c clientOptions) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.Timeout)
}

// get reads a resource from the configured host.
func (c clientOptions) get(ctx context.Context, path string, result any) error {
	return c.call(ctx, http.MethodGet, c.Address, path, nil, result)
}

// call sends a request to a host and decodes the response into result. If the host refuses
// the request or does not answer, the error is a Refusal whose verdict says whether a change
// may have taken effect.
func (c clientOptions) call(ctx context.Context, method, address, path string, body, result any) error {
	if !validator.IsAddress(address) {
		return errors.Wrapf(errUsage, "--address or WIGEONSPINDLE_ADDRESS must be an IP:port, got %q", address)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return unreachableRefusal(method, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return unreachableRefusal(method, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		var failure encoder.ErrorAnswer
		if err := json.Unmarshal(data, &failure); err != nil || failure.Refusal == nil {
			return unreachableRefusal(method, errors.Newf("HTTP status %d without a refusal in the body", response.StatusCode))
		}
		return failure.Refusal
	}
	return errors.Wrap(json.Unmarshal(data, result), "decode response")
}

// unreachableRefusal returns the refusal for a request without a valid response. A read
// changes nothing, and neither does a request whose connection could not be opened.
func unreachableRefusal(method string, err error) error {
	refusal := &wigeonspindle.Refusal{Code: wigeonspindle.CodeUnreachable, Verdict: wigeonspindle.MayHaveRun, Message: err.Error()}
	var opErr *net.OpError
	if method == http.MethodGet || errors.As(err, &opErr) && opErr.Op == "dial" {
		refusal.Verdict = wigeonspindle.NotRun
	}
	return refusal
}

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write JSON")
}
