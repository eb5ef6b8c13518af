package converter

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/messenger"
)

func encodeHeartbeat(h wigeonspindle.Heartbeat) *messenger.Heartbeat {
	message := &messenger.Heartbeat{
		Host: &messenger.Host{
			Name: h.Host.Name, Incarnation: string(h.Host.Incarnation), Domain: h.Host.Domain, Cell: h.Host.Cell,
			Caller: h.Host.CallerAddress, Link: h.Host.LinkAddress, Admin: h.Host.AdminAddress,
		},
		Leaving: h.Leaving, Revision: uint64(h.Revision), Era: h.Era, Heard: h.HeardHosts, Drops: h.LeavingTargets, Terms: h.Terms,
	}
	for _, override := range h.Overrides {
		message.Overrides = append(message.Overrides, encodeOverride(override))
	}
	return message
}

func decodeHeartbeat(m *messenger.Heartbeat) *wigeonspindle.Heartbeat {
	host := m.GetHost()
	heartbeat := &wigeonspindle.Heartbeat{
		Host: wigeonspindle.Host{
			Name: host.GetName(), Incarnation: wigeonspindle.Incarnation(host.GetIncarnation()), Domain: host.GetDomain(),
			Cell: host.GetCell(), CallerAddress: host.GetCaller(), LinkAddress: host.GetLink(), AdminAddress: host.GetAdmin(),
		},
		Leaving: m.GetLeaving(), Revision: wigeonspindle.Revision(m.GetRevision()), Era: m.GetEra(),
		HeardHosts: m.GetHeard(), LeavingTargets: m.GetDrops(), Terms: m.GetTerms(),
	}
	for _, override := range m.GetOverrides() {
		heartbeat.Overrides = append(heartbeat.Overrides, decodeOverride(override))
	}
	return heartbeat
}

func encodeOverride(o wigeonspindle.Override) *messenger.Override {
	return &messenger.Override{
		Domain: o.Domain, Out: o.Out, Wall: o.Stamp.Wall.UnixNano(), Logical: o.Stamp.Logical,
		Author: o.Author, Expires: o.Expires.UnixNano(),
	}
}

func decodeOverride(m *messenger.Override) wigeonspindle.Override {
	return wigeonspindle.Override{
		Domain: m.GetDomain(), Out: m.GetOut(), Author: m.GetAuthor(),
		Stamp:   wigeonspindle.Timestamp{Wall: time.Unix(0, m.GetWall()), Logical: m.GetLogical()},
		Expires: time.Unix(0, m.GetExpires()),
	}
}

func encodeClaimTargets(targets []wigeonspindle.ClaimTarget) []*messenger.ClaimTarget {
	messages := make([]*messenger.ClaimTarget, 0, len(targets))
	for _, target := range targets {
		messages = append(messages, &messenger.ClaimTarget{Target: target.Target, Level: target.Level})
	}
	return messages
}

func decodeClaimTargets(messages []*messenger.ClaimTarget) []wigeonspindle.ClaimTarget {
	targets := make([]wigeonspindle.ClaimTarget, 0, len(messages))
	for _, m := range messages {
		targets = append(targets, wigeonspindle.ClaimTarget{Target: m.GetTarget(), Level: decodeLevel(m.GetLevel())})
	}
	return targets
}

func encodeClaim(c wigeonspindle.Claim) *messenger.Claim {
	return &messenger.Claim{Holder: string(c.Holder), Era: c.Era, Counter: c.Counter, Targets: encodeClaimTargets(c.Targets)}
}

func decodeClaim(m *messenger.Claim) *wigeonspindle.Claim {
	return &wigeonspindle.Claim{
		Holder: wigeonspindle.Incarnation(m.GetHolder()), Era: m.GetEra(), Counter: m.GetCounter(),
		Targets: decodeClaimTargets(m.GetTargets()),
	}
}

func encodeGrant(g wigeonspindle.Grant) *messenger.Grant {
	return &messenger.Grant{
		Voter: string(g.Voter), Era: g.Era, Seat: uint32(g.Seat), Terms: g.Terms, Counter: g.Counter,
		Lease: int64(g.Lease), Targets: encodeClaimTargets(g.Targets), Denied: g.Denied,
	}
}

func decodeGrant(m *messenger.Grant) *wigeonspindle.Grant {
	return &wigeonspindle.Grant{
		Voter: wigeonspindle.Incarnation(m.GetVoter()), Era: m.GetEra(), Seat: int(m.GetSeat()), Terms: m.GetTerms(),
		Counter: m.GetCounter(), Lease: time.Duration(m.GetLease()),
		Targets: decodeClaimTargets(m.GetTargets()), Denied: m.GetDenied(),
	}
}

func encodeAcknowledgement(a wigeonspindle.Acknowledgement) *messenger.Acknowledgement {
	return &messenger.Acknowledgement{
		Voter: string(a.Voter), Era: a.Era, Seat: uint32(a.Seat), Term: a.Term, Incarnation: string(a.Incarnation),
		Terms: a.Terms, Lease: int64(a.LeaseRemaining),
	}
}

func decodeAcknowledgement(m *messenger.Acknowledgement) *wigeonspindle.Acknowledgement {
	return &wigeonspindle.Acknowledgement{
		Voter: wigeonspindle.Incarnation(m.GetVoter()), Era: m.GetEra(), Seat: int(m.GetSeat()), Term: m.GetTerm(),
		Incarnation: wigeonspindle.Incarnation(m.GetIncarnation()),
		Terms:       m.GetTerms(), LeaseRemaining: time.Duration(m.GetLease()),
	}
}

func encodeSuspicion(s wigeonspindle.Suspicion, now time.Time) *messenger.Suspicion {
	return &messenger.Suspicion{
		Fingerprint: s.Fingerprint, Points: s.Score, Target: s.Target,
		Remaining: int64(s.Expires.Sub(now)), Cleared: s.Cleared, Crash: s.Crash, Pool: s.Pool, Simultaneous: s.Simultaneous, AnyCaller: s.Wide,
	}
}

func decodeSuspicion(m *messenger.Suspicion, now time.Time) *wigeonspindle.Suspicion {
	return &wigeonspindle.Suspicion{
		Fingerprint: m.GetFingerprint(), Score: decodeScore(m.GetPoints()), Target: m.GetTarget(),
		Expires: now.Add(time.Duration(m.GetRemaining())), Cleared: m.GetCleared(), Crash: m.GetCrash(), Pool: m.GetPool(), Simultaneous: m.GetSimultaneous(),
		Wide: m.GetAnyCaller(),
	}
}
