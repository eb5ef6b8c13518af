package encoder

import (
	"fmt"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/validator"
)

// Inventory is the operators' document that lists the indexes and their targets.
type Inventory struct {
	Revision wigeonspindle.Revision `json:"revision,omitempty"`
	Indexes  []wigeonspindle.Index  `json:"indexes" validate:"required,max=1024,dive"`
}

// RulesDocument is the operators' document that holds the rules.
type RulesDocument struct {
	Revision wigeonspindle.Revision `json:"revision,omitempty"`
	Rules    wigeonspindle.Rules    `json:"rules"`
}

// DomainList answers GET /domains.
type DomainList struct {
	Revision  wigeonspindle.Revision   `json:"revision"`
	Domains   []wigeonspindle.Domain   `json:"domains"`
	Overrides []wigeonspindle.Override `json:"overrides"`
}

// Proposal is the body of PUT /inventory and PUT /rules; exactly one of Indexes and Rules
// is set.
type Proposal struct {
	// ExpectedRevision is the revision on which the change is based.
	ExpectedRevision *wigeonspindle.Revision `json:"expected" validate:"required"`
	// Identity lets the host recognize a repeated change; the host generates one when it is
	// empty.
	Identity string                `json:"identity,omitempty" validate:"max=64"`
	Author   string                `json:"author" validate:"required,max=128"`
	Reason   string                `json:"reason,omitempty" validate:"max=512"`
	Indexes  []wigeonspindle.Index `json:"indexes,omitempty" validate:"max=1024,dive"`
	Rules    *wigeonspindle.Rules  `json:"rules,omitempty"`
}

// DomainProposal is the body of PUT /domains/NAME. ExpectedRevision is optional so that a
// domain can be taken out of service while the store, and with it the current revision, is
// unavailable.
type DomainProposal struct {
	ExpectedRevision *wigeonspindle.Revision `json:"expected,omitempty"`
	Author           string                  `json:"author" validate:"required,max=128"`
	Out              *bool                   `json:"out" validate:"required"`
}

// DomainResult answers PUT /domains/NAME.
type DomainResult struct {
	Domain string `json:"domain"`
	Out    bool   `json:"out"`
	// AwaitsStore reports that the change is an override that has not been written to the
	// store yet.
	AwaitsStore bool `json:"soft"`
	// DryRun reports that nothing was changed.
	DryRun bool `json:"dry,omitempty"`
}

// EventList answers GET /events.
type EventList struct {
	Host   string                `json:"host"`
	Events []wigeonspindle.Event `json:"events"`
}

// HistoryList answers GET /history.
type HistoryList struct {
	Entries []wigeonspindle.HistoryEntry `json:"entries"`
}

// ChangeResult answers PUT /inventory and PUT /rules.
type ChangeResult struct {
	// DryRun reports that nothing was changed.
	DryRun bool                       `json:"dry,omitempty"`
	Entry  wigeonspindle.HistoryEntry `json:"entry"`
}

// DrainResult answers POST /drain.
type DrainResult struct {
	Leaving bool `json:"leaving"`
}

// Health answers GET /health and GET /ready.
type Health struct {
	OK bool `json:"ok"`
	// Reason says why the host is not ready.
	Reason string `json:"reason,omitempty"`
}

// ErrorAnswer is the body of every refusal of the operators' API.
type ErrorAnswer struct {
	Refusal *wigeonspindle.Refusal `json:"refusal"`
}

// Parts of the configuration that a Proposal may change.
const (
	PartInventory = "indexes"
	PartRules     = "rules"
)

// DecodeProposal decodes and validates the body of a change to one part of the configuration.
func DecodeProposal(data []byte, part string) (Proposal, *wigeonspindle.Refusal) {
	var proposal Proposal
	faults := DecodeAndValidate(data, &proposal)
	present := map[string]bool{PartInventory: proposal.Indexes != nil, PartRules: proposal.Rules != nil}
	for _, name := range []string{PartInventory, PartRules} {
		switch {
		case faults.HasField(name):
		case name == part && !present[name]:
			faults = append(faults, wigeonspindle.Fault{Field: name, Message: "is required"})
		case name != part && present[name]:
			faults = append(faults, wigeonspindle.Fault{Field: name, Message: fmt.Sprintf("is not accepted here, only %s", part)})
		}
	}
	return proposal, faults.Refusal()
}

// structValidator is shared because it is safe for concurrent use and caches the tags of each
// type.
var structValidator = validator.New()

// DecodeAndValidate decodes one JSON value strictly, validates it by its tags and returns the
// faults of both steps, at most validator.MaxFaults. A field that could not be decoded is
// reported once.
func DecodeAndValidate(data []byte, value any) Faults {
	faults := DecodeStrict(data, value)
	for _, fault := range structValidator.CheckStruct(value) {
		if !faults.HasField(fault.Field) {
			faults = append(faults, fault)
		}
	}
	if len(faults) > validator.MaxFaults {
		omitted := fmt.Sprintf("%d more faults", len(faults)-validator.MaxFaults+1)
		faults = append(faults[:validator.MaxFaults-1], wigeonspindle.Fault{Message: omitted})
	}
	return faults
}
