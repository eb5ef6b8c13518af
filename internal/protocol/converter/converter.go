// Package converter converts the messages between hosts to and from their Protocol Buffers
// form. Deadlines are sent as remaining time, because the clocks of hosts differ.
package converter

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/messenger"
)

// Encode returns the frame of a message that is sent at now.
func Encode(envelope wigeonspindle.Envelope, now time.Time) (*messenger.Frame, error) {
	frame := &messenger.Frame{Wall: envelope.Stamp.Wall.UnixNano(), Logical: envelope.Stamp.Logical}
	switch {
	case envelope.Heartbeat != nil:
		frame.Body = &messenger.Frame_Heartbeat{Heartbeat: encodeHeartbeat(*envelope.Heartbeat)}
	case envelope.Attempts != nil:
		frame.Body = &messenger.Frame_Attempts{Attempts: encodeAttempts(envelope.Attempts, now)}
	case envelope.Cancels != nil:
		frame.Body = &messenger.Frame_Cancels{Cancels: encodeCancels(envelope.Cancels)}
	case envelope.Outcomes != nil:
		frame.Body = &messenger.Frame_Outcomes{Outcomes: encodeOutcomes(envelope.Outcomes)}
	case envelope.Forward != nil:
		frame.Body = &messenger.Frame_Forward{Forward: encodeForward(*envelope.Forward, now)}
	case envelope.Claim != nil:
		frame.Body = &messenger.Frame_Claim{Claim: encodeClaim(*envelope.Claim)}
	case envelope.Grant != nil:
		frame.Body = &messenger.Frame_Grant{Grant: encodeGrant(*envelope.Grant)}
	case envelope.Release != nil:
		frame.Body = &messenger.Frame_Release{Release: &messenger.Release{
			Holder: string(envelope.Release.Holder), Counter: envelope.Release.Counter, Targets: encodeClaimTargets(envelope.Release.Targets),
		}}
	case envelope.Acknowledgement != nil:
		frame.Body = &messenger.Frame_Acknowledgement{Acknowledgement: encodeAcknowledgement(*envelope.Acknowledgement)}
	case envelope.Pull != nil:
		frame.Body = &messenger.Frame_Pull{Pull: &messenger.Pull{After: uint64(envelope.Pull.After)}}
	case envelope.Suspicion != nil:
		frame.Body = &messenger.Frame_Suspicion{Suspicion: encodeSuspicion(*envelope.Suspicion, now)}
	case envelope.Override != nil:
		frame.Body = &messenger.Frame_Override{Override: encodeOverride(*envelope.Override)}
	default:
		return frame, encodeDocument(frame, envelope)
	}
	return frame, nil
}

// encodeDocument encodes messages whose content is a JSON document.
func encodeDocument(frame *messenger.Frame, envelope wigeonspindle.Envelope) error {
	switch {
	case envelope.Forwarded != nil:
		data, err := json.Marshal(envelope.Forwarded.Answer)
		frame.Body = &messenger.Frame_Forwarded{Forwarded: &messenger.Forwarded{Counter: envelope.Forwarded.Counter, Answer: data}}
		return errors.Wrap(err, "encode forwarded answer")
	case envelope.Notice != nil:
		data, err := json.Marshal(envelope.Notice.Roster)
		frame.Body = &messenger.Frame_Notice{Notice: &messenger.Notice{Roster: data}}
		return errors.Wrap(err, "encode roster")
	case envelope.Delta != nil:
		data, err := json.Marshal(envelope.Delta)
		frame.Body = &messenger.Frame_Delta{Delta: &messenger.Delta{Delta: data}}
		return errors.Wrap(err, "encode configuration delta")
	}
	return errors.New("encode message: no body is set")
}

// Decode returns the message in a frame that was received at now from the named host.
func Decode(frame *messenger.Frame, from string, now time.Time) (wigeonspindle.Envelope, error) {
	envelope := wigeonspindle.Envelope{
		From:  from,
		Stamp: wigeonspindle.Timestamp{Wall: time.Unix(0, frame.GetWall()), Logical: frame.GetLogical()},
	}
	switch body := frame.GetBody().(type) {
	case *messenger.Frame_Heartbeat:
		envelope.Heartbeat = decodeHeartbeat(body.Heartbeat)
	case *messenger.Frame_Attempts:
		envelope.Attempts = decodeAttempts(body.Attempts, now)
	case *messenger.Frame_Cancels:
		envelope.Cancels = decodeCancels(body.Cancels)
	case *messenger.Frame_Outcomes:
		envelope.Outcomes = decodeOutcomes(body.Outcomes)
	case *messenger.Frame_Forward:
		envelope.Forward = decodeForward(body.Forward, now)
	case *messenger.Frame_Claim:
		envelope.Claim = decodeClaim(body.Claim)
	case *messenger.Frame_Grant:
		envelope.Grant = decodeGrant(body.Grant)
	case *messenger.Frame_Release:
		envelope.Release = &wigeonspindle.Release{
			Holder: wigeonspindle.Incarnation(body.Release.GetHolder()), Counter: body.Release.GetCounter(),
			Targets: decodeClaimTargets(body.Release.GetTargets()),
		}
	case *messenger.Frame_Acknowledgement:
		envelope.Acknowledgement = decodeAcknowledgement(body.Acknowledgement)
	case *messenger.Frame_Pull:
		envelope.Pull = &wigeonspindle.Pull{After: wigeonspindle.Revision(body.Pull.GetAfter())}
	case *messenger.Frame_Suspicion:
		envelope.Suspicion = decodeSuspicion(body.Suspicion, now)
	case *messenger.Frame_Override:
		override := decodeOverride(body.Override)
		envelope.Override = &override
	default:
		return envelope, decodeDocument(&envelope, frame)
	}
	return envelope, nil
}

// decodeDocument decodes messages whose content is a JSON document.
func decodeDocument(envelope *wigeonspindle.Envelope, frame *messenger.Frame) error {
	switch body := frame.GetBody().(type) {
	case *messenger.Frame_Forwarded:
		envelope.Forwarded = &wigeonspindle.Forwarded{Counter: body.Forwarded.GetCounter()}
		err := json.Unmarshal(body.Forwarded.GetAnswer(), &envelope.Forwarded.Answer)
		// An answer without a verdict does not guarantee that the request was not run.
		envelope.Forwarded.Answer.Verdict = decodeVerdict(uint32(envelope.Forwarded.Answer.Verdict))
		return errors.Wrap(err, "decode forwarded answer")
	case *messenger.Frame_Notice:
		envelope.Notice = &wigeonspindle.Notice{}
		return errors.Wrap(json.Unmarshal(body.Notice.GetRoster(), &envelope.Notice.Roster), "decode roster")
	case *messenger.Frame_Delta:
		envelope.Delta = &wigeonspindle.Delta{}
		return errors.Wrap(json.Unmarshal(body.Delta.GetDelta(), envelope.Delta), "decode configuration delta")
	}
	return errors.New("decode message: unknown or missing body")
}
