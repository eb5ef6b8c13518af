// Package lister is the client of the platform's list of hosts.
package lister

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

const callTimeout = 2 * time.Second

// Lister implements wigeonspindle.HostLister over HTTP.
type Lister struct {
	Address string

	client http.Client
}

// List returns the hosts that the platform knows. The list lags behind changes.
func (l *Lister) List(ctx context.Context) ([]wigeonspindle.ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Address+"/hosts", nil)
	if err != nil {
		return nil, errors.Wrap(err, "build host list request")
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "get host list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("get host list: status %d", response.StatusCode)
	}
	return encoder.DecodeHostList(response.Body)
}
