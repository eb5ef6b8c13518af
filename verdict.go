package wigeonspindle

import "fmt"

// Verdict states whether a request may have run on a target.
type Verdict uint8

const (
	// NotRun means that no target has run or will run the request.
	NotRun Verdict = iota + 1
	// MayHaveRun means that a target may have run the request or may still run it.
	MayHaveRun
	// Ran means that a target reported that it ran the request.
	Ran
)

var verdictNames = map[Verdict]string{NotRun: "not-run", MayHaveRun: "may-have-run", Ran: "ran"}

// String returns the name used in messages and logs.
func (v Verdict) String() string {
	if name, ok := verdictNames[v]; ok {
		return name
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// MarshalText encodes the verdict as its name.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText decodes a verdict name.
func (v *Verdict) UnmarshalText(text []byte) error {
	for verdict, name := range verdictNames {
		if name == string(text) {
			*v = verdict
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}
