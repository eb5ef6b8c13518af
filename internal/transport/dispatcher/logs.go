package dispatcher

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/gatherer"
)

// maxLoggedURIBytes bounds the request URI in a log line.
const maxLoggedURIBytes = 256

// logExchange logs a send that did not succeed.
func (d *Dispatcher) logExchange(p *pendingCall, send gatherer.Send, exchange wigeonspindle.Exchange, err error) {
	if exchange.Response != nil && exchange.Response.Success() {
		return
	}
	fields := []any{
		"call", p.call.ID, "route", p.route.Name, "pool", send.Replica.Pool, "replica", send.Replica.ID,
		"kind", send.Kind, "verdict", exchange.Verdict, "code", exchange.Code,
		"took", exchange.Took, "expected_latency", send.ExpectedLatency, "entry_sequence", send.Replica.Sequence,
	}
	if exchange.Response != nil {
		fields = append(fields, "status", exchange.Response.Status)
	}
	if exchange.Sent && exchange.Verdict != wigeonspindle.NotRun {
		fields = append(append(fields, "fingerprint", fingerprintNames(p)), p.identityFields()...)
	}
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	d.Logger.Info("send to replica failed", fields...)
}

// logUnreachable logs a replica that accepts no connection, and how many sends may be to blame if it has crashed. Later
// dials that fail are logged only if there are such sends.
func (d *Dispatcher) logUnreachable(replica *wigeonspindle.Replica, dialled, now time.Time, err error) {
	failedSends := d.Gatherer.Correlator.FailedSends(replica.ID, now)
	if d.unreachable[replica.ID] && failedSends == 0 {
		return
	}
	d.unreachable[replica.ID] = true
	d.Logger.Info("replica accepts no connection", "replica", replica.ID, "pool", replica.Pool, "took", now.Sub(dialled),
		"failed_sends", failedSends, "error", err.Error())
}

// logReply logs the reply to a call and records its metrics.
func (d *Dispatcher) logReply(p *pendingCall, reply wigeonspindle.CallReply, now time.Time) {
	took := now.Sub(p.call.Arrived)
	fields := []any{"call", p.call.ID, "took", took, "caller_round_trip", p.call.RoundTrip, "caller_timeout", p.call.CallerTimeout}
	outcome, route := "answered", ""
	if p.route != nil {
		route = p.route.Name
		fields = append(fields, "route", route)
	}
	if p.state != nil {
		answered, total := p.state.Coverage()
		fields = append(fields, "config_version", p.state.ConfigVersion, "parts_answered", answered, "parts_total", total,
			"sends", p.state.SendCount(), "hedges", p.state.Hedges, "retries", p.state.Retries, "parts_skipped", p.state.SkippedParts)
		d.Meter.ObserveCoverage(route, answered, total)
	}
	if reply.Refusal != nil {
		outcome = string(reply.Refusal.Code)
		if reply.Refusal.Code == wigeonspindle.CodeQuarantined {
			fields = append(append(fields, "fingerprint", fingerprintNames(p)), p.identityFields()...)
		}
		fields = append(fields, "verdict", reply.Refusal.Verdict, "reason", reply.Refusal.Message,
			"retry_after", reply.RetryAfter, "registry_state_age", now.Sub(d.deployment.RegistrySeen))
	}
	d.Meter.ObserveReply(route, outcome, took)
	d.Logger.Info("replied to call", append(fields, "outcome", outcome)...)
}

// logUnqueued logs the refusal of a call that was not queued and records its metrics. Unlike the other
// methods it is called on the goroutine of the caller.
func (d *Dispatcher) logUnqueued(call *wigeonspindle.Call, reply wigeonspindle.CallReply) {
	took := d.Clock.Now().Sub(call.Arrived)
	d.Meter.ObserveReply("", string(reply.Refusal.Code), took)
	d.Logger.Info("replied to call", "call", call.ID, "took", took, "caller_timeout", call.CallerTimeout, "verdict", reply.Refusal.Verdict,
		"reason", reply.Refusal.Message, "retry_after", reply.RetryAfter, "queue_size", callQueueSize, "outcome", string(reply.Refusal.Code))
}

// fingerprintNames returns the names under which the hosts share suspicions against a call.
func fingerprintNames(p *pendingCall) string {
	var names []string
	for _, fingerprint := range p.state.Fingerprints() {
		names = append(names, wigeonspindle.Suspicion{Fingerprint: fingerprint.Hash}.FingerprintName())
	}
	return strings.Join(names, ",")
}

// bodyIdentity is what is logged of the body of a call.
type bodyIdentity struct {
	bytes int
	hash  uint64
}

func identifyBody(body []byte) bodyIdentity {
	return bodyIdentity{bytes: len(body), hash: xxhash.Sum64(body)}
}

// dropBody drops the body of a call that is not sent again. Its remaining sends may take until its deadline, and the memory
// that the caller has claimed for the body is given back with the reply.
func (p *pendingCall) dropBody() {
	if len(p.jobs) > 0 && p.body == nil {
		identity := identifyBody(p.call.Body)
		p.body = &identity
	}
	p.call.Body = nil
}

// identityFields returns the log fields of what the fingerprints of a call are made from.
func (p *pendingCall) identityFields() []any {
	call, body := p.call, p.body
	if body == nil {
		identity := identifyBody(call.Body)
		body = &identity
	}
	uri := call.RequestURI
	if len(uri) > maxLoggedURIBytes {
		uri = uri[:maxLoggedURIBytes]
	}
	return []any{
		"caller", call.Caller, "method", call.Method, "authority", call.Authority, "uri", uri, "uri_bytes", len(call.RequestURI),
		"body_bytes", body.bytes, "body_hash", fmt.Sprintf("%016x", body.hash),
	}
}

// logLimit logs the request limit of a replica if it differs from the one before.
func (d *Dispatcher) logLimit(replica *wigeonspindle.Replica, before wigeonspindle.RequestLimit) {
	if limit := d.Gatherer.Selector.Limit(replica.ID); limit != before {
		d.Logger.Info("request limit of a replica changed", "replica", replica.ID, "pool", replica.Pool, "limited", limit.Known, "limit_per_second", limit.PerSecond,
			"limited_before", before.Known, "limit_per_second_before", before.PerSecond, "serving_hosts", len(d.deployment.ServingPeers))
	}
}

// logNotice logs what a replica has said about itself.
func (d *Dispatcher) logNotice(replica *wigeonspindle.Replica, response *wigeonspindle.Response, now time.Time) {
	available, ok := d.Gatherer.Selector.Noticer.AvailableAt(replica, now)
	d.Logger.Info("replica said in a response when it takes requests", "replica", replica.ID, "pool", replica.Pool, "leaving", response.Leaving,
		"retry_after", response.RetryAfter, "status", response.Status, "used_later", ok, "used_again_in", available.Sub(now), "entry_sequence", replica.Sequence, "entry_start", replica.StartUnixMs)
}

// logInvalidFields logs the fields of a response that are ignored.
func (d *Dispatcher) logInvalidFields(replica *wigeonspindle.Replica, response *wigeonspindle.Response, now time.Time) {
	if response == nil {
		return
	}
	for _, field := range response.InvalidFields {
		if now.Sub(d.invalidFieldLoggedAt[field.Name]) < invalidFieldLogInterval {
			continue
		}
		d.invalidFieldLoggedAt[field.Name] = now
		d.Logger.Warn("ignored an invalid field in a response of a replica", "replica", replica.ID, "pool", replica.Pool, "field", field.Name,
			"value", fmt.Sprintf("%.64q", field.Value), "accepted", field.Accepted)
	}
}
