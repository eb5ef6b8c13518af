package parser_test

import (
	"strings"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle/internal/protocol/parser"
)

// validGatewaySettings is a valid settings file of a host on the platform.
const validGatewaySettings = `{
  "name": "h1", "domain": "a", "caller": "10.0.0.1:1", "directory": "10.0.0.1:2", "ready": "10.0.0.1:3",
  "metrics": "10.0.0.1:4", "link": "10.0.0.1:5", "store": "10.0.0.9:6", "grace": "6s", "ratio": 0.2, "slack": 104,
  "window": "10s", "share": 0.25, "cores": 2, "memory": 206, "files": 2870
}`

// TestParseGatewaySettings guards against accepting settings with which a host cannot run, and
// against faults that do not name the field.
func TestParseGatewaySettings(t *testing.T) {
	for _, test := range []struct{ name, from, to, field string }{
		{name: "valid"},
		{"no name", `"name": "h1"`, `"name": ""`, "name"},
		{"address without a port", `"10.0.0.1:1"`, `"10.0.0.1"`, "caller"},
		{"ratio below zero", `"ratio": 0.2`, `"ratio": -1`, "ratio"},
		{"grace as a number", `"grace": "6s"`, `"grace": 6`, "grace"},
		{"grace too short", `"grace": "6s"`, `"grace": "1ms"`, "grace"},
		{"drain period below zero", `"grace": "6s"`, `"grace": "6s", "drain": "-1s"`, "drain"},
		{"no processor", `"share": 0.25`, `"share": 0`, "share"},
		{"too little memory", `"memory": 206`, `"memory": 1`, "memory"},
		{"unknown field", `"files": 2870`, `"files": 2870, "colour": 1`, "colour"},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings, faults := parser.ParseGatewaySettings([]byte(strings.Replace(validGatewaySettings, test.from, test.to, 1)))
			if test.field == "" {
				if len(faults) > 0 {
					t.Fatalf("faults: got %v, want none", faults)
				}
				if got, want := settings.CPUCapacity(), 0.5; got != want {
					t.Errorf("capacity: got %v, want %v", got, want)
				}
				if got, want := settings.ShutdownGrace.Value(), 6*time.Second; got != want {
					t.Errorf("grace: got %v, want %v", got, want)
				}
				return
			}
			if !faults.HasField(test.field) {
				t.Errorf("faults: got %v, want one of the field %s", faults, test.field)
			}
		})
	}
}
