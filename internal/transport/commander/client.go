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

// maxAnswer bounds an answer of the API; a full event history is the largest one.
const maxAnswer = 64 << 20

// connection holds the options of commands that talk to a host.
type connection struct {
	Address string        `long:"address" env:"WIGEONSPINDLE_ADDRESS" value-name:"IP:PORT" description:"operators' address of a host"`
	Token   string        `long:"token" env:"WIGEONSPINDLE_TOKEN" default-mask:"-" description:"operators' bearer token; the variable keeps it out of the process list"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"time after which the command gives up"`
}

// with returns a context that ends at the timeout.
func (c connection) with() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.Timeout)
}

// get reads a resource of the configured host.
func (c connection) get(ctx context.Context, path string, answer any) error {
	return c.call(ctx, http.MethodGet, c.Address, path, nil, answer)
}

// call sends one request to a host. The error is a Refusal whose verdict says whether a
// change may have taken effect.
func (c connection) call(ctx context.Context, method, address, path string, body, answer any) error {
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
		return lost(method, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return lost(method, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		var refused encoder.ErrorAnswer
		if err := json.Unmarshal(data, &refused); err != nil || refused.Refusal == nil {
			return lost(method, errors.Newf("status %d without a refusal", response.StatusCode))
		}
		return refused.Refusal
	}
	return errors.Wrap(json.Unmarshal(data, answer), "decode answer")
}

// lost returns the refusal for a request without an answer. A read and a connection that
// was never opened changed nothing.
func lost(method string, err error) error {
	refusal := &wigeonspindle.Refusal{Code: wigeonspindle.CodeUnreachable, Verdict: wigeonspindle.MayHaveRun, Message: err.Error()}
	var operation *net.OpError
	if method == http.MethodGet || errors.As(err, &operation) && operation.Op == "dial" {
		refusal.Verdict = wigeonspindle.NotRun
	}
	return refusal
}

// printJSON writes a value in indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print answer")
}
