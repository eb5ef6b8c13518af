package parser

import (
	"os"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// GatewaySettings holds the settings of a host on the platform, as read from its settings file.
type GatewaySettings struct {
	Name   string `json:"name" validate:"required,max=128"`
	Domain string `json:"domain" validate:"required,max=64"`
	// CallerAddress, DirectoryAddress and ReadinessAddress are the addresses of the listeners
	// for calls, address look-ups and readiness checks. MetricsAddress is that of the metrics
	// listener and LinkAddress that of the listener for other hosts.
	CallerAddress    string `json:"caller" validate:"required,hostport"`
	DirectoryAddress string `json:"directory" validate:"required,hostport"`
	ReadinessAddress string `json:"ready" validate:"required,hostport"`
	MetricsAddress   string `json:"metrics" validate:"required,hostport"`
	LinkAddress      string `json:"link" validate:"required,hostport"`
	// LinkListenAddress is the address on which the host listens for other hosts when it
	// differs from LinkAddress, for example behind port forwarding.
	LinkListenAddress string `json:"listen,omitempty" validate:"omitempty,hostport"`
	// StoreAddress is the address of the key-value service.
	StoreAddress string `json:"store" validate:"required,hostport"`
	// ShutdownGrace is the time between the termination signal and the kill.
	ShutdownGrace wigeonspindle.Duration `json:"grace" validate:"min=1000000000,max=3600000000000"`
	// DrainPeriod is how long a replica serves after it has said that it leaves.
	DrainPeriod wigeonspindle.Duration `json:"drain,omitempty" validate:"min=0,max=3600000000000"`
	// RetryBudgetRatio and RetryBudgetSlack limit the retries to a pool in each
	// RetryBudgetWindow, over all hosts.
	RetryBudgetRatio  float64                `json:"ratio" validate:"min=0,max=10"`
	RetryBudgetSlack  float64                `json:"slack" validate:"min=0,max=1000000"`
	RetryBudgetWindow wigeonspindle.Duration `json:"window" validate:"min=1000000000,max=3600000000000"`
	// CPUShare is the share of each core that the process may use, and CPUCores the number of
	// cores.
	CPUShare float64 `json:"share" validate:"gt=0,max=1"`
	CPUCores float64 `json:"cores" validate:"gt=0,max=1024"`
	// MemoryLimitMB is the memory limit of the process in megabytes.
	MemoryLimitMB int `json:"memory" validate:"min=16,max=1048576"`
	// MaxOpenFiles is the limit on open file descriptors.
	MaxOpenFiles int `json:"files" validate:"min=256,max=1048576"`
	// LogLevel is the lowest level that is logged.
	LogLevel string `json:"level" validate:"oneof=debug info warn error"`
}

// CPUCapacity returns the processor capacity that the process may use, in cores.
func (g GatewaySettings) CPUCapacity() float64 { return g.CPUShare * g.CPUCores }

// LinkListener returns the address on which the host listens for other hosts.
func (g GatewaySettings) LinkListener() string {
	if g.LinkListenAddress != "" {
		return g.LinkListenAddress
	}
	return g.LinkAddress
}

// LoadGatewaySettings reads and validates the settings file of a host on the platform.
func LoadGatewaySettings(path string) (GatewaySettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return GatewaySettings{}, errors.Wrap(err, "read settings")
	}
	settings, faults := ParseGatewaySettings(data)
	if len(faults) > 0 {
		return GatewaySettings{}, errors.Wrapf(faults, "settings %s", path)
	}
	return settings, nil
}

// ParseGatewaySettings decodes and validates settings and returns all faults in them.
func ParseGatewaySettings(data []byte) (GatewaySettings, encoder.Faults) {
	settings := GatewaySettings{LogLevel: "info"}
	faults := encoder.DecodeAndValidate(data, &settings)
	return settings, faults
}
