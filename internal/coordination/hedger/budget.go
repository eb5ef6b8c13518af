package hedger

// Budget is a token bucket that limits extra attempts to a fraction of the regular ones: each
// regular attempt adds Ratio tokens and each extra attempt uses one token.
type Budget struct {
	Ratio float64
	// Burst is the capacity of the bucket. It limits the extra attempts that can be made at
	// once after a period without any.
	Burst float64
	// Reserve is the number of tokens held back for urgent attempts, see HasSurplus.
	Reserve float64

	tokens float64
}

// HasSurplus reports whether a token beyond the reserve is left.
func (b *Budget) HasSurplus() bool { return b.tokens >= b.Reserve+1-1e-9 }

// Deposit adds the tokens that one regular attempt earns.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.Ratio, b.Burst) }

// TryWithdraw takes one token and reports whether one was left.
func (b *Budget) TryWithdraw() bool {
	// The tolerance covers rounding: 20 additions of 0.05 give less than 1 in binary fractions.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

// Fill sets the number of tokens to Burst, for budgets that start full.
func (b *Budget) Fill() { b.tokens = b.Burst }
