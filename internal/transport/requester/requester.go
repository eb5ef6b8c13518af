// Package requester is the client library for callers. It caches the list of host addresses,
// sends requests to one host, and retries on another host only when the verdict allows it.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// Limits of the client.
const (
	addressTimeout = time.Second
	maxAnswerBytes = 64 << 20
	// maxAttempts limits the attempts of one request, so that retries do not flood a failing
	// system.
	maxAttempts = 8
	// retryDelay is the pause before each retry once every known host was tried.
	retryDelay = 20 * time.Millisecond
	// answerGrace is how long the client waits for an answer after the deadline, because a host
	// that reaches the deadline answers shortly after it.
	answerGrace = 500 * time.Millisecond
)

// Requester sends the requests of one caller. Its methods may be called concurrently.
type Requester struct {
	Seeds  []string // Seeds are host addresses that are known in advance.
	Domain string   // Domain is the failure domain whose hosts are preferred.
	Caller string   // Caller is the name sent with each request.
	Clock  wigeonspindle.Clock

	mutex    sync.Mutex
	cache    addressCache
	client   http.Client
	initOnce sync.Once
}

// Query sends a request and returns its answer. The verdict of a refusal covers all attempts.
// A once request without an ID gets an identity, preferably from the host that it is sent to.
func (r *Requester) Query(ctx context.Context, request encoder.QueryRequest) wigeonspindle.Answer {
	r.initialize()
	deadline := r.Clock.Now().Add(request.Budget.Value())
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerGrace))
	defer cancel()
	if request.Class == "" {
		request.Class = wigeonspindle.ClassIdempotent
	}
	request.Caller = r.Caller
	needsIdentity := request.Class == wigeonspindle.ClassOnce && request.ID == ""
	state := retryState{class: request.Class}
	var tried []string
	answer := refused(wigeonspindle.CodeExpired, wigeonspindle.NotRun, "the deadline has passed")
	for attempt := 0; attempt < maxAttempts && r.Clock.Now().Before(deadline) && ctx.Err() == nil; attempt++ {
		host, identity, err := r.chooseHost(ctx, tried, needsIdentity && request.ID == "")
		if err != nil {
			answer = refused(wigeonspindle.CodeUnreachable, wigeonspindle.NotRun, err.Error())
			r.waitRetryDelay(ctx)
			continue
		}
		if needsIdentity && request.ID == "" {
			request.ID = identity
		}
		request.Budget = wigeonspindle.Duration(deadline.Sub(r.Clock.Now()))
		answer = r.send(ctx, host, request)
		action := state.nextAction(answer)
		if action == actionStop {
			break
		}
		if action == actionRenewIdentity && needsIdentity {
			request.ID = ""
		}
		tried = append(tried, host)
		r.recordFailure(ctx, len(tried), answer.Refusal)
	}
	return state.correctVerdict(answer)
}

// Close closes the idle connections.
func (r *Requester) Close() error {
	r.initialize()
	r.client.CloseIdleConnections()
	return nil
}

func (r *Requester) initialize() {
	r.initOnce.Do(func() {
		r.client.Transport = &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
		r.cache.domain = r.Domain
	})
}

// recordFailure updates the address cache from a refusal that lists addresses, and pauses once
// every host was tried.
func (r *Requester) recordFailure(ctx context.Context, attempts int, refusal *wigeonspindle.Refusal) {
	r.mutex.Lock()
	if len(refusal.Addresses) > 0 {
		r.cache.update(refusal.Addresses, wigeonspindle.AddressTTL, r.Clock.Now())
	}
	known := len(r.cache.addresses)
	r.mutex.Unlock()
	if attempts >= known {
		r.waitRetryDelay(ctx)
	}
}

func (r *Requester) waitRetryDelay(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryDelay):
	}
}

// chooseHost returns the address of the host to use. It refreshes the address list if that has
// expired or an identity is needed, and then also returns the identity that came with the list.
func (r *Requester) chooseHost(ctx context.Context, tried []string, needsIdentity bool) (string, string, error) {
	r.mutex.Lock()
	fresh := r.cache.isFresh(r.Clock.Now())
	candidates := r.addressCandidates(tried)
	r.mutex.Unlock()
	var issued string
	if !fresh || needsIdentity {
		answer, err := r.refreshAddresses(ctx, candidates)
		if err != nil && (!fresh || needsIdentity) {
			return "", "", err
		}
		issued = answer.Identity
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if issued == "" {
		return r.cache.pick(tried), "", nil
	}
	// The host that issued the identity runs the request without forwarding it.
	named, err := encoder.ParseIdentity(issued)
	for _, address := range r.cache.addresses {
		if err == nil && needsIdentity && address.Incarnation == named.Incarnation && !slices.Contains(tried, address.Address) {
			return address.Address, issued, nil
		}
	}
	return r.cache.pick(tried), issued, nil
}

// addressCandidates returns the hosts to ask for the address list, in order of preference.
func (r *Requester) addressCandidates(tried []string) []string {
	var known []string
	if len(r.cache.addresses) > 0 {
		known = append(known, r.cache.pick(tried))
	}
	for _, address := range r.cache.addresses {
		known = append(known, address.Address)
	}
	known = append(known, r.Seeds...)
	var candidates []string
	for _, host := range known {
		if !slices.Contains(candidates, host) && !slices.Contains(tried, host) {
			candidates = append(candidates, host)
		}
	}
	return append(candidates, tried...)
}

// refreshAddresses asks the hosts in turn until one returns the address list, and caches it.
func (r *Requester) refreshAddresses(ctx context.Context, hosts []string) (wigeonspindle.AddressAnswer, error) {
	err := errors.New("no host address is known")
	for _, host := range hosts {
		var answer wigeonspindle.AddressAnswer
		if answer, err = r.fetchAddresses(ctx, host); err == nil && len(answer.Addresses) > 0 {
			r.mutex.Lock()
			r.cache.update(answer.Addresses, answer.TTL.Value(), r.Clock.Now())
			r.mutex.Unlock()
			return answer, nil
		}
		if err == nil {
			err = errors.Newf("host %s returned an empty address list", host)
		}
	}
	return wigeonspindle.AddressAnswer{}, err
}

func (r *Requester) fetchAddresses(ctx context.Context, host string) (wigeonspindle.AddressAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	var answer wigeonspindle.AddressAnswer
	endpoint := "http://" + host + "/addresses?domain=" + url.QueryEscape(r.Domain)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint, nil)
	if err != nil {
		return answer, errors.Wrap(err, "build address request")
	}
	response, err := r.client.Do(request)
	if err != nil {
		return answer, errors.Wrap(err, "get addresses")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, errors.Newf("get addresses: status %d", response.StatusCode)
	}
	return answer, errors.Wrap(json.NewDecoder(response.Body).Decode(&answer), "decode addresses")
}

// send sends the request to one host and returns its answer, or a refusal that classifies the
// failure.
func (r *Requester) send(ctx context.Context, host string, request encoder.QueryRequest) wigeonspindle.Answer {
	data, err := json.Marshal(request)
	if err != nil {
		return refused(wigeonspindle.CodeInvalid, wigeonspindle.NotRun, err.Error())
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// Bytes of the request may reach the host once there is a connection.
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/query", bytes.NewReader(data))
	if err != nil {
		return refused(wigeonspindle.CodeInvalid, wigeonspindle.NotRun, err.Error())
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := r.client.Do(httpRequest)
	switch {
	case err != nil && !connected.Load():
		return refused(wigeonspindle.CodeUnreachable, wigeonspindle.NotRun, err.Error())
	case err != nil:
		return refused(wigeonspindle.CodeBroken, wigeonspindle.MayHaveRun, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	var answer wigeonspindle.Answer
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return refused(wigeonspindle.CodeBroken, wigeonspindle.MayHaveRun, err.Error())
	}
	if answer.Refusal == nil && response.StatusCode != http.StatusOK {
		return refused(wigeonspindle.CodeFailed, wigeonspindle.MayHaveRun, response.Status)
	}
	return answer
}

func refused(code wigeonspindle.Code, verdict wigeonspindle.Verdict, message string) wigeonspindle.Answer {
	return wigeonspindle.Answer{
		Verdict: verdict, Refusal: &wigeonspindle.Refusal{Code: code, Verdict: verdict, Message: message},
	}
}
