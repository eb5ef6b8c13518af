package converter

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/messenger"
)

func encodeIdentity(i wigeonspindle.Identity) *messenger.Identity {
	if i.Nonce == "" {
		return nil
	}
	return &messenger.Identity{Incarnation: string(i.Incarnation), Issued: i.Issued.UnixNano(), Nonce: i.Nonce}
}

func decodeIdentity(m *messenger.Identity) wigeonspindle.Identity {
	if m.GetNonce() == "" { // An identity without a nonce identifies no request.
		return wigeonspindle.Identity{}
	}
	return wigeonspindle.Identity{
		Incarnation: wigeonspindle.Incarnation(m.GetIncarnation()), Issued: time.Unix(0, m.GetIssued()), Nonce: m.GetNonce(),
	}
}

func encodeAttempts(attempts []wigeonspindle.Attempt, now time.Time) *messenger.Attempts {
	message := &messenger.Attempts{Attempts: make([]*messenger.Attempt, 0, len(attempts))}
	for _, a := range attempts {
		message.Attempts = append(message.Attempts, &messenger.Attempt{
			Entry: string(a.ID.EntryHost), Counter: a.ID.Counter, Query: a.Query, Trace: a.Trace, Target: a.Target,
			Index: a.Index, Shard: a.Shard, Snapshot: a.Snapshot, Generation: uint32(a.Generation),
			Class: string(a.Class), Identity: encodeIdentity(a.Identity), Body: a.Body,
			Remaining: int64(a.Deadline.Sub(now)), Fingerprint: a.Fingerprint, Alone: a.Exclusive, Hedge: a.Hedge,
		})
	}
	return message
}

func decodeAttempts(m *messenger.Attempts, now time.Time) []wigeonspindle.Attempt {
	attempts := make([]wigeonspindle.Attempt, 0, len(m.GetAttempts()))
	for _, a := range m.GetAttempts() {
		attempts = append(attempts, wigeonspindle.Attempt{
			ID:    wigeonspindle.AttemptID{EntryHost: wigeonspindle.Incarnation(a.GetEntry()), Counter: a.GetCounter()},
			Query: a.GetQuery(), Trace: a.GetTrace(), Target: a.GetTarget(), Index: a.GetIndex(), Shard: a.GetShard(),
			Snapshot: a.GetSnapshot(), Generation: int(a.GetGeneration()), Class: decodeClass(a.GetClass()),
			Identity: decodeIdentity(a.GetIdentity()), Body: a.GetBody(), Deadline: now.Add(time.Duration(a.GetRemaining())),
			Fingerprint: a.GetFingerprint(), Exclusive: a.GetAlone(), Hedge: a.GetHedge(),
		})
	}
	return attempts
}

func encodeCancels(cancels []wigeonspindle.Cancel) *messenger.Cancels {
	message := &messenger.Cancels{Cancels: make([]*messenger.Cancel, 0, len(cancels))}
	for _, c := range cancels {
		message.Cancels = append(message.Cancels, &messenger.Cancel{
			Entry: string(c.ID.EntryHost), Counter: c.ID.Counter, Target: c.Target,
		})
	}
	return message
}

func decodeCancels(m *messenger.Cancels) []wigeonspindle.Cancel {
	cancels := make([]wigeonspindle.Cancel, 0, len(m.GetCancels()))
	for _, c := range m.GetCancels() {
		cancels = append(cancels, wigeonspindle.Cancel{
			ID:     wigeonspindle.AttemptID{EntryHost: wigeonspindle.Incarnation(c.GetEntry()), Counter: c.GetCounter()},
			Target: c.GetTarget(),
		})
	}
	return cancels
}

func encodeOutcomes(outcomes []wigeonspindle.Outcome) *messenger.Outcomes {
	message := &messenger.Outcomes{Outcomes: make([]*messenger.Outcome, 0, len(outcomes))}
	for _, o := range outcomes {
		message.Outcomes = append(message.Outcomes, &messenger.Outcome{
			Entry: string(o.ID.EntryHost), Counter: o.ID.Counter, Query: o.Query, Target: o.Target, Shard: o.Shard,
			Snapshot: o.Snapshot, Generation: uint32(o.Generation), Verdict: uint32(o.Verdict), Code: string(o.Code),
			Message: o.Message, Body: o.Body, Took: int64(o.Took), Crashed: o.Crashed, Together: int32(o.ConcurrentAttempts),
			Load: &messenger.Load{
				Waiting: int32(o.Load.Waiting), Running: int32(o.Load.Running), Level: o.Load.Level,
				Expected: int64(o.Load.Expected),
			},
		})
	}
	return message
}

func decodeOutcomes(m *messenger.Outcomes) []wigeonspindle.Outcome {
	outcomes := make([]wigeonspindle.Outcome, 0, len(m.GetOutcomes()))
	for _, o := range m.GetOutcomes() {
		outcomes = append(outcomes, wigeonspindle.Outcome{
			ID:    wigeonspindle.AttemptID{EntryHost: wigeonspindle.Incarnation(o.GetEntry()), Counter: o.GetCounter()},
			Query: o.GetQuery(), Target: o.GetTarget(), Shard: o.GetShard(), Snapshot: o.GetSnapshot(),
			Generation: int(o.GetGeneration()), Verdict: decodeVerdict(o.GetVerdict()),
			Code: wigeonspindle.Code(o.GetCode()), Message: o.GetMessage(), Body: o.GetBody(),
			Took: time.Duration(o.GetTook()), Crashed: o.GetCrashed(), ConcurrentAttempts: int(o.GetTogether()),
			Load: wigeonspindle.Load{
				Waiting: int(o.GetLoad().GetWaiting()), Running: int(o.GetLoad().GetRunning()),
				Level: decodeLevel(o.GetLoad().GetLevel()), Expected: time.Duration(o.GetLoad().GetExpected()),
			},
		})
	}
	return outcomes
}

func encodeForward(f wigeonspindle.Forward, now time.Time) *messenger.Forward {
	q := f.Query
	return &messenger.Forward{
		Counter: f.Counter, Trace: q.Trace, Caller: q.Caller, Index: q.Index, Shards: q.Shards, Body: q.Body,
		Identity: encodeIdentity(q.Identity), Remaining: int64(q.Deadline.Sub(now)),
	}
}

func decodeForward(m *messenger.Forward, now time.Time) *wigeonspindle.Forward {
	return &wigeonspindle.Forward{Counter: m.GetCounter(), Query: wigeonspindle.Query{
		Trace: m.GetTrace(), Caller: m.GetCaller(), Index: m.GetIndex(), Shards: m.GetShards(), Body: m.GetBody(),
		Class: wigeonspindle.ClassOnce, Identity: decodeIdentity(m.GetIdentity()), Arrived: now,
		Deadline: now.Add(time.Duration(m.GetRemaining())),
	}}
}
