package requester

import (
	"slices"

	"wigeonspindle.example/wigeonspindle"
)

// retryAction is what happens to a request after an attempt.
type retryAction int

const (
	actionStop          retryAction = iota
	actionRepeat                    // actionRepeat retries the request, a once request under the same identity.
	actionRenewIdentity             // actionRenewIdentity retries a once request under a new identity.
)

// finalCodes lists the codes with which every other host would refuse the request, too.
var finalCodes = []wigeonspindle.Code{
	wigeonspindle.CodeInvalid, wigeonspindle.CodeTooLarge, wigeonspindle.CodeExpired,
	wigeonspindle.CodeQuarantined, wigeonspindle.CodeDuplicate, wigeonspindle.CodeCancelled,
}

// retryState holds what the attempts of one request have shown. It decides on retries and does
// no I/O.
type retryState struct {
	class wigeonspindle.Class
	// mayHaveRun is set once an attempt may have run the request. From then on a once request
	// keeps its identity, because the system detects duplicates by identity.
	mayHaveRun bool
}

// nextAction decides how to proceed after the answer to an attempt.
func (s *retryState) nextAction(answer wigeonspindle.Answer) retryAction {
	if answer.Refusal == nil {
		return actionStop
	}
	s.mayHaveRun = s.mayHaveRun || answer.Verdict != wigeonspindle.NotRun
	switch {
	case slices.Contains(finalCodes, answer.Refusal.Code):
		return actionStop
	case s.class == wigeonspindle.ClassIdempotent:
		return actionRepeat
	case s.mayHaveRun && answer.Refusal.Code == wigeonspindle.CodeGone:
		return actionStop // The only host that knew the outcome no longer exists.
	case s.mayHaveRun:
		return actionRepeat
	}
	return actionRenewIdentity
}

// correctVerdict changes the verdict not-run of the last answer to may-have-run if an earlier
// attempt may have run the request.
func (s *retryState) correctVerdict(answer wigeonspindle.Answer) wigeonspindle.Answer {
	if answer.Refusal != nil && s.mayHaveRun && answer.Verdict == wigeonspindle.NotRun {
		refusal := *answer.Refusal
		refusal.Verdict = wigeonspindle.MayHaveRun
		answer.Verdict, answer.Refusal = wigeonspindle.MayHaveRun, &refusal
	}
	return answer
}
