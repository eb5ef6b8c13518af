// Package parser reads the settings file of a host.
package parser

import (
	"os"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// Settings is the content of a host's settings file.
type Settings struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Cell   string `json:"cell"`
	Caller string `json:"caller"` // Caller is the listener for callers.
	Link   string `json:"link"`   // Link is the listener for other hosts.
	Admin  string `json:"admin"`  // Admin is the listener for operators.
	Token  string `json:"token"`  // Token is the operators' bearer token.
	Store  string `json:"store"`  // Store is the address of the key-value service.
	Hosts  string `json:"hosts"`  // Hosts is the address of the host list.
	// Peers are link addresses of other hosts, used when the host list is unavailable.
	Peers   []string `json:"peers,omitempty"`
	Workers int      `json:"workers"` // Workers is the number of query loops and of target loops.
	Level   string   `json:"level"`   // Level is the log level.
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	settings := Settings{Cell: "main", Workers: 2, Level: "info"}
	if err := encoder.DecodeBytes(data, &settings); err != nil {
		return Settings{}, errors.Wrapf(err, "settings %s", path)
	}
	return settings, nil
}

// Host returns the host that the settings describe.
func (s Settings) Host(incarnation wigeonspindle.Incarnation) wigeonspindle.Host {
	return wigeonspindle.Host{
		Name: s.Name, Incarnation: incarnation, Domain: s.Domain, Cell: s.Cell,
		Caller: s.Caller, Link: s.Link, Admin: s.Admin,
	}
}
