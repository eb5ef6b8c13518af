// Package parser reads and validates the settings files of hosts.
package parser

import (
	"os"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// Settings holds the settings of a host, as read from its settings file.
type Settings struct {
	Name   string `json:"name" validate:"required,max=64,label"`
	Domain string `json:"domain" validate:"required,max=64,label"`
	Cell   string `json:"cell" validate:"required,max=64,label"`
	// CallerAddress is the address of the listener for callers.
	CallerAddress string `json:"caller" validate:"required,hostport"`
	// LinkAddress is the address of the listener for other hosts.
	LinkAddress string `json:"link" validate:"required,hostport"`
	// LinkListenAddress is the address on which the host listens for other hosts when it
	// differs from LinkAddress, for example behind port forwarding.
	LinkListenAddress string `json:"listen,omitempty" validate:"omitempty,hostport"`
	// AdminAddress is the address of the listener for operators.
	AdminAddress string `json:"admin" validate:"required,hostport"`
	// Token is the operators' bearer token.
	Token Secret `json:"token" validate:"required,min=16,max=256,printascii"`
	// StoreAddress is the address of the key-value service.
	StoreAddress string `json:"store" validate:"required,hostport"`
	// HostListAddress is the address of the service that lists the hosts.
	HostListAddress string `json:"hosts" validate:"required,hostport"`
	// PeerAddresses are the link addresses of other hosts, used when the host list is
	// unavailable.
	PeerAddresses []string `json:"peers,omitempty" validate:"max=64,dive,hostport"`
	// Workers is the number of goroutines that run queries, and of those that run targets.
	Workers int `json:"workers" validate:"min=1,max=64"`
	// LogLevel is the lowest level that is logged.
	LogLevel string `json:"level" validate:"oneof=debug info warn error"`
	// MaxBodyBytes is the largest request body of a caller, in bytes.
	MaxBodyBytes int64 `json:"body" validate:"min=1024,max=16777216"`
	// RequestMemoryMB is the memory, in megabytes, that the bodies of callers' requests and the answers that they have not read
	// may hold together.
	RequestMemoryMB int64 `json:"buffer,omitempty" validate:"min=1,max=1048576"`
	// MaxConnections is the largest number of open connections from callers.
	MaxConnections int `json:"connections" validate:"min=1,max=65536"`
}

// Secret is a string that is hidden in messages and logs.
type Secret string

// String returns a placeholder for the secret.
func (Secret) String() string { return "a hidden value" }

// defaults returns the default values of the optional settings.
func defaults() Settings {
	return Settings{Cell: "main", Workers: 2, LogLevel: "info", MaxBodyBytes: 1 << 20, RequestMemoryMB: 256, MaxConnections: 4096}
}

// LoadSettings reads and validates a settings file.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	settings, faults := ParseSettings(data)
	if len(faults) > 0 {
		return Settings{}, errors.Wrapf(faults, "settings %s", path)
	}
	return settings, nil
}

// ParseSettings decodes and validates settings and returns all faults in them.
func ParseSettings(data []byte) (Settings, encoder.Faults) {
	settings := defaults()
	faults := encoder.DecodeAndValidate(data, &settings)
	for _, fault := range sharedAddresses(settings) {
		if !faults.HasField(fault.Field) {
			faults = append(faults, fault)
		}
	}
	return settings, faults
}

// sharedAddresses returns a fault for each listener that has the address of another one.
func sharedAddresses(settings Settings) encoder.Faults {
	var faults encoder.Faults
	listeners := []struct{ field, address string }{
		{"caller", settings.CallerAddress}, {"link", settings.LinkAddress}, {"admin", settings.AdminAddress},
	}
	for i, listener := range listeners {
		for _, other := range listeners[:i] {
			if listener.address != "" && listener.address == other.address {
				faults = append(faults, wigeonspindle.Fault{
					Field: listener.field, Message: "must differ from the address of " + other.field,
				})
			}
		}
	}
	return faults
}

// Host returns the host that the settings describe, with the given incarnation.
func (s Settings) Host(incarnation wigeonspindle.Incarnation) wigeonspindle.Host {
	return wigeonspindle.Host{
		Name: s.Name, Incarnation: incarnation, Domain: s.Domain, Cell: s.Cell,
		CallerAddress: s.CallerAddress, LinkAddress: s.LinkAddress, AdminAddress: s.AdminAddress,
	}
}
