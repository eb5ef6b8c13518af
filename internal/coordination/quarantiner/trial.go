package quarantiner

import (
	"fmt"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

const (
	// maxTrials bounds the calls that all hosts together let through while a fingerprint is quarantined. A call that
	// crashes targets may be sent three times more, later than 4 s after the third crash.
	maxTrials = 2
	// maxContentCrashes is the number of crashes up to which the content of a call is tried. More of them without an
	// answer leave little doubt, and each trial is one of the few further sends.
	maxContentCrashes = 2
	// trialClaimTimeout is how long a claim may be under way before it is made again.
	trialClaimTimeout = 5 * time.Second
)

// trialDelays are the times from the last crash or trial of a fingerprint to each of its trials. Targets
// that were lost for another reason are mostly back after some seconds.
var trialDelays = [maxTrials]time.Duration{time.Second, 10 * time.Second}

// Admission says whether a call is sent to targets.
type Admission struct {
	// RefusedUntil is when the call may be admitted; zero when it is admitted now.
	RefusedUntil time.Time
	// Trials are the claims under which a quarantined call is admitted.
	Trials []wigeonspindle.Suspicion
	// Claims are the trials to claim, so that a later call is admitted.
	Claims []wigeonspindle.Suspicion
}

// trialClaim is a claim of this host that it has not used.
type trialClaim struct {
	suspicion wigeonspindle.Suspicion
	claimedAt time.Time
}

// Admit decides whether a call is sent to targets. One that is quarantined is refused, unless this host holds a
// trial of each of its quarantined fingerprints. Usable reports whether the call would be sent to a pool now: a trial
// that reaches no target of a suspected pool shows nothing.
func (c *CrashCorrelator) Admit(fingerprints []Fingerprint, usable func(pool string) bool, now time.Time) Admission {
	var admission Admission
	var due []uint64
	expiresAt, trialAt, final := time.Time{}, now, false
	for _, fingerprint := range fingerprints {
		if c.Quarantiner.State(fingerprint.Hash, now) != Quarantined {
			continue
		}
		if at := c.Quarantiner.ExpiresAt(fingerprint.Hash, now); at.After(expiresAt) {
			expiresAt = at
		}
		if trial, ok := c.heldTrial(fingerprint.Hash); ok {
			admission.Trials = append(admission.Trials, trial)
			continue
		}
		at, ok := c.nextTrial(fingerprint, now)
		final = final || !ok
		due = append(due, fingerprint.Hash)
		if at.After(trialAt) {
			trialAt = at
		}
	}
	reachable := func() bool { return c.reachesSuspected(fingerprints, usable, now) }
	switch {
	case expiresAt.IsZero():
		return Admission{}
	case final:
		return Admission{RefusedUntil: expiresAt}
	case len(due) == 0 && reachable():
		return admission
	case len(due) > 0 && !trialAt.After(now) && reachable():
		return Admission{RefusedUntil: now, Claims: c.claim(due, now)}
	}
	return Admission{RefusedUntil: trialAt}
}

// reachesSuspected reports whether a call would be sent to a pool of a suspicion for which it is quarantined.
func (c *CrashCorrelator) reachesSuspected(fingerprints []Fingerprint, usable func(pool string) bool, now time.Time) bool {
	for _, fingerprint := range fingerprints {
		if c.Quarantiner.State(fingerprint.Hash, now) != Quarantined {
			continue
		}
		for _, suspicion := range c.Quarantiner.SuspicionsOf(fingerprint.Hash, now) {
			if usable(suspicion.Pool) {
				return true
			}
		}
	}
	return false
}

// nextTrial returns when the next trial of a quarantined fingerprint is due. It reports false if there is none: the
// hosts have made all of them, or targets crashed at several moments under the same call, or too often under its content.
func (c *CrashCorrelator) nextTrial(fingerprint Fingerprint, now time.Time) (time.Time, bool) {
	crashes, trials := c.Quarantiner.SuspicionsOf(fingerprint.Hash, now), c.Quarantiner.trials[fingerprint.Hash]
	switch {
	case len(trials) >= maxTrials, !fingerprint.AnyQuery && len(crashes) > maxContentCrashes, !allWide(crashes) && len(moments(crashes)) > 1:
		return time.Time{}, false
	}
	last := c.Quarantiner.ExpiresAt(fingerprint.Hash, now)
	for _, trial := range trials {
		if trial.Expires.After(last) {
			last = trial.Expires
		}
	}
	delay := trialDelays[len(trials)]
	at := last.Add(delay - c.SuspicionTTL)
	if latest := now.Add(delay); at.After(latest) {
		return latest, true // The clock of another host is ahead.
	}
	return at, true
}

// claim returns the claims of the next trials of fingerprints that are to be reported.
func (c *CrashCorrelator) claim(fingerprints []uint64, now time.Time) []wigeonspindle.Suspicion {
	if c.claims == nil {
		c.claims = make(map[string]trialClaim)
	}
	for name, claim := range c.claims {
		if !now.Before(claim.suspicion.Expires) {
			delete(c.claims, name)
		}
	}
	var claims []wigeonspindle.Suspicion
	for _, fingerprint := range fingerprints {
		trial := wigeonspindle.Suspicion{
			Fingerprint: fingerprint, Crash: fmt.Sprintf("trial-%d", len(c.Quarantiner.trials[fingerprint])+1), Expires: now.Add(c.SuspicionTTL),
		}
		known, ok := c.claims[trial.Name()]
		switch {
		case !ok:
			trial.Target = fmt.Sprintf("%s-%x", c.Host, c.Quarantiner.nextNumber(now))
		case now.Sub(known.claimedAt) < trialClaimTimeout:
			continue
		default:
			trial = known.suspicion // The registry may still take the earlier report.
		}
		c.claims[trial.Name()] = trialClaim{suspicion: trial, claimedAt: now}
		claims = append(claims, trial)
	}
	return claims
}

// heldTrial returns the trial of a fingerprint that this host has claimed, if the registry holds its claim and it has
// not been used.
func (c *CrashCorrelator) heldTrial(fingerprint uint64) (wigeonspindle.Suspicion, bool) {
	for _, trial := range c.Quarantiner.trials[fingerprint] {
		if claim, ok := c.claims[trial.Name()]; ok && claim.suspicion.Target == trial.Target {
			return trial, true
		}
	}
	return wigeonspindle.Suspicion{}, false
}

// UseTrials records that a call under these trials is sent to a target.
func (c *CrashCorrelator) UseTrials(trials []wigeonspindle.Suspicion) {
	for _, trial := range trials {
		delete(c.claims, trial.Name())
	}
}

// ReturnTrials makes trials available to another call, because the one under them has not run.
func (c *CrashCorrelator) ReturnTrials(trials []wigeonspindle.Suspicion, now time.Time) {
	for _, trial := range trials {
		c.claims[trial.Name()] = trialClaim{suspicion: trial, claimedAt: now}
	}
}
