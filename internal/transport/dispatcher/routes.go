package dispatcher

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/gatherer"
	"wigeonspindle.example/wigeonspindle/internal/coordination/matcher"
)

// routes is what a call is matched with. It is immutable, so that the goroutines of callers can read
// it too.
type routes struct {
	catalog      *wigeonspindle.Catalog
	matcher      *matcher.Matcher // matcher is nil as long as no configuration is known.
	registrySeen time.Time
}

// update returns the routes of a new deployment state.
func (r *routes) update(deployment *wigeonspindle.DeploymentState) *routes {
	updated := &routes{catalog: r.catalog, matcher: r.matcher, registrySeen: deployment.RegistrySeen}
	if deployment.Catalog != r.catalog && deployment.Catalog != nil {
		updated.catalog, updated.matcher = deployment.Catalog, matcher.New(deployment.Catalog)
	}
	return updated
}

// match returns the route of a call, or the reply that refuses a call without a route.
func (r *routes) match(call *wigeonspindle.Call, now time.Time) (*wigeonspindle.Route, *wigeonspindle.CallReply) {
	refuse := func(code wigeonspindle.Code, message string, retry time.Duration) (*wigeonspindle.Route, *wigeonspindle.CallReply) {
		reply := refusalReply(code, wigeonspindle.NotRun, message, retry)
		return nil, &reply
	}
	if r.matcher == nil {
		return refuse(wigeonspindle.CodeUnavailable, "no configuration is known yet", retryAfter)
	}
	if route := r.matcher.Match(call.Authority, call.Path); route != nil {
		return route, nil
	}
	if now.Sub(r.registrySeen) > maxStateAge {
		return refuse(wigeonspindle.CodeUnavailable, "the route is not known and the registry does not answer", retryAfter)
	}
	return refuse(wigeonspindle.CodeInvalid, "no route matches", 0)
}

// Admit implements wigeonspindle.Gateway.
func (d *Dispatcher) Admit(call *wigeonspindle.Call) (time.Time, *wigeonspindle.CallReply) {
	route, refusal := d.routes.Load().match(call, d.Clock.Now())
	if refusal != nil {
		d.logUnqueued(call, *refusal)
		return time.Time{}, refusal
	}
	return gatherer.Deadline(call, route), nil
}
