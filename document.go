package wigeonspindle

import "fmt"

// Keys of the store's documents that hold the configuration.
const (
	KeyHead    = "head"
	KeyHistory = "history"
)

// IndexKey returns the store's key of an index document. The document of a revision is
// written once and never changed while a head refers to it.
func IndexKey(name string, modRevision Revision) string {
	return fmt.Sprintf("index.%s.%d", name, modRevision)
}

// IndexReference names the index document that belongs to a head.
type IndexReference struct {
	Name        string   `json:"name"`
	ModRevision Revision `json:"changed"`
}

// Head is the store's document that puts a configuration in force.
type Head struct {
	Revision Revision         `json:"revision"`
	Rules    Rules            `json:"rules"`
	Domains  []Domain         `json:"domains,omitempty"`
	Indexes  []IndexReference `json:"indexes,omitempty"`
	// LastEntry describes the last change. The next writer copies it to the history before it
	// replaces the head, so a change whose writer crashed still reaches the history.
	LastEntry HistoryEntry `json:"entry"`
	// HistoryVersion is a version of the history that holds every earlier entry. A reader
	// that gets an older version has a stale answer.
	HistoryVersion uint64 `json:"logged,omitempty"`
}

// IndexDocument is the store's document of one index.
type IndexDocument struct {
	Identity string `json:"identity"` // Identity is that of the change that wrote the document.
	Index    Index  `json:"index"`
}

// Codec encodes and decodes the documents of the store.
type Codec interface {
	Encode(value any) ([]byte, error)
	Decode(data []byte, value any) error
}

// Fault is one error in a proposed configuration.
type Fault struct {
	Field   string `json:"field"` // Field is the path of the field, such as indexes[0].name.
	Message string `json:"message"`
}

// Placement lists what receives no new work. It is immutable once published.
type Placement struct {
	OutDomains     map[string]bool // OutDomains holds the failure domains that are out of service.
	LeavingTargets map[string]bool // LeavingTargets holds the names of targets that hosts saw leaving.
}

// Accepts reports whether the target may receive new work. A nil placement accepts all.
func (p *Placement) Accepts(target Target) bool {
	return p == nil || !p.OutDomains[target.Domain] && !p.LeavingTargets[target.Name] && !target.Leaving
}
