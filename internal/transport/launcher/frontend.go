package launcher

import (
	"context"
	"math/rand/v2"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/balancer"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// frontend connects the callers' listener to the query loops. It counts the queries in
// progress and refuses those that this host must not serve.
type frontend struct {
	host *Host
}

// Query runs a query, or refuses it when the host does not serve callers.
func (f frontend) Query(ctx context.Context, query wigeonspindle.Query) wigeonspindle.Answer {
	h := f.host
	h.inflight.Add(1)
	defer h.inflight.Add(-1)
	if answer, redirected := h.redirect(query); redirected {
		return answer
	}
	return h.Query(ctx, query)
}

// Addresses returns the addresses to which a caller in a failure domain connects.
func (f frontend) Addresses(domain string) wigeonspindle.AddressAnswer {
	return f.host.Addresses(domain)
}

// Leaving reports whether the host is in a planned stop.
func (f frontend) Leaving() bool { return f.host.leaving.Load() }

// redirect refuses a query that reached the host through an outdated address list. The
// refusal carries the current list. A once request is passed to its query loop, because only
// the identity table there shows whether it repeats a request that ran.
func (h *Host) redirect(query wigeonspindle.Query) (wigeonspindle.Answer, bool) {
	if query.Class == wigeonspindle.ClassOnce {
		return wigeonspindle.Answer{}, false
	}
	message := "the host has stopped serving callers"
	if !h.refusing.Load() {
		if !h.domainOut.Load() {
			return wigeonspindle.Answer{}, false
		}
		message = "the host's failure domain is out of service"
	}
	addresses := h.addresses(h.self.Domain)
	if !h.refusing.Load() && (len(addresses) == 0 || h.placement.Load().OutDomains[addresses[0].Domain]) {
		return wigeonspindle.Answer{}, false // There is no host in service to redirect to.
	}
	answer := refusalAnswer(query, wigeonspindle.CodeLeaving, wigeonspindle.NotRun, message)
	answer.Refusal.Addresses = addresses
	return answer, true
}

// Addresses returns the addresses to which a caller in a failure domain connects, with an
// identity that names the incarnation of the first address.
func (h *Host) Addresses(domain string) wigeonspindle.AddressAnswer {
	answer := wigeonspindle.AddressAnswer{
		Addresses: h.addresses(domain), TTL: wigeonspindle.Duration(wigeonspindle.AddressTTL),
	}
	if len(answer.Addresses) > 0 {
		answer.Identity = encoder.FormatIdentity(wigeonspindle.Identity{
			Incarnation: answer.Addresses[0].Incarnation, Issued: h.Clock.Now(), Nonce: string(NewIncarnation()),
		})
	}
	return answer
}

func (h *Host) addresses(domain string) []wigeonspindle.Address {
	addresses := balancer.Addresses(h.view.Load(), h.placement.Load(), domain, h.addressRotation.Add(1))
	if len(addresses) == 0 {
		// Before the first membership view only this host is known.
		return []wigeonspindle.Address{{Address: h.self.CallerAddress, Domain: h.self.Domain, Incarnation: h.self.Incarnation}}
	}
	return addresses
}

// randomRotation returns a random start of the rotation, so that different hosts do not all
// return the same first address.
func randomRotation() uint64 { return rand.Uint64() }
