package parser

import (
	"os"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// Gateway is the content of the settings file of a host on the platform.
type Gateway struct {
	Name   string `json:"name" validate:"required,max=128"`
	Domain string `json:"domain" validate:"required,max=64"`
	// Caller, Directory and Ready are the listeners for requests, for the question where to
	// connect and for readiness checks. Metrics serves the measurements, and Link the other
	// hosts.
	Caller    string `json:"caller" validate:"required,hostport"`
	Directory string `json:"directory" validate:"required,hostport"`
	Ready     string `json:"ready" validate:"required,hostport"`
	Metrics   string `json:"metrics" validate:"required,hostport"`
	Link      string `json:"link" validate:"required,hostport"`
	// Listen is where the listener for other hosts listens when that is not Link, for example
	// behind a port that the machine forwards.
	Listen string `json:"listen,omitempty" validate:"omitempty,hostport"`
	// Store is the address of the key-value service.
	Store string `json:"store" validate:"required,hostport"`
	// Grace is the time between the signal to stop and the kill.
	Grace wigeonspindle.Duration `json:"grace" validate:"min=1000000000,max=3600000000000"`
	// Ratio and Slack bound the repeated sends to a pool in each Window, over all hosts.
	Ratio  float64                `json:"ratio" validate:"min=0,max=10"`
	Slack  float64                `json:"slack" validate:"min=0,max=1000000"`
	Window wigeonspindle.Duration `json:"window" validate:"min=1000000000,max=3600000000000"`
	// Share and Cores are the part of a core that the process may use, and the number of cores.
	Share float64 `json:"share" validate:"gt=0,max=1"`
	Cores float64 `json:"cores" validate:"gt=0,max=1024"`
	// Memory is the memory limit of the process in megabytes.
	Memory int `json:"memory" validate:"min=16,max=1048576"`
	// Files is the limit of open descriptors.
	Files int `json:"files" validate:"min=256,max=1048576"`
	// Level is the log level.
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

// Capacity returns the processor that the process may use, in cores.
func (g Gateway) Capacity() float64 { return g.Share * g.Cores }

// LinkListener returns the address on which the host listens for other hosts.
func (g Gateway) LinkListener() string {
	if g.Listen != "" {
		return g.Listen
	}
	return g.Link
}

// LoadGateway reads and checks the settings file of a host on the platform.
func LoadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, errors.Wrap(err, "read settings")
	}
	settings, problems := ParseGateway(data)
	if len(problems) > 0 {
		return Gateway{}, errors.Wrapf(problems, "settings %s", path)
	}
	return settings, nil
}

// ParseGateway reads settings and reports every fault at once.
func ParseGateway(data []byte) (Gateway, encoder.Problems) {
	settings := Gateway{Level: "info"}
	problems := encoder.DecodeAndCheck(data, &settings)
	return settings, problems
}
