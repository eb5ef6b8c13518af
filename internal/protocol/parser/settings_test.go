package parser_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/protocol/parser"
)

const validSettings = `{"name":"host-1","domain":"a","caller":"192.0.2.1:7000","link":"192.0.2.1:7001","admin":"192.0.2.1:7002",` +
	`"token":"0123456789abcdef","store":"192.0.2.9:80","hosts":"192.0.2.9:81"}`

// TestParseSettings guards against accepting invalid settings, and against faults that are
// reported one at a time or without the accepted values.
func TestParseSettings(t *testing.T) {
	tests := []struct{ name, from, to, want string }{
		{"accepted", "", "", ""},
		{"unknown key", `"name"`, `"title":"x","name"`, "title: is not a known key"},
		{"missing", `"store":"192.0.2.9:80",`, "", "store: is missing, accepted: not empty, an IP address with a port, such as 10.0.0.1:8080"},
		{"host name", "192.0.2.9:81", "list.example:81", `hosts: got "list.example:81", accepted: not empty, an IP address with a port, such as 10.0.0.1:8080`},
		{"port zero", "192.0.2.1:7000", "192.0.2.1:0", `caller: got "192.0.2.1:0", accepted: not empty, an IP address with a port, such as 10.0.0.1:8080`},
		{"unspecified address", "192.0.2.1:7001", "0.0.0.0:7001", `link: got "0.0.0.0:7001", accepted: not empty, an IP address with a port, such as 10.0.0.1:8080`},
		{"same listener", "192.0.2.1:7002", "192.0.2.1:7000", "admin: must differ from the address of caller"},
		{"short token", "0123456789abcdef", "secret", "token: got a hidden value, accepted: not empty, at least 16 characters, at most 256 characters, only printable ASCII characters"},
		{"workers", `"name"`, `"workers":0,"name"`, "workers: got 0, accepted: at least 1, at most 64"},
		{"type", `"name"`, `"workers":"2","name"`, "workers: must be a whole number"},
		{"request memory", `"name"`, `"buffer":0,"name"`, "buffer: got 0, accepted: at least 1, at most 1048576"},
		{"level", `"name"`, `"level":"loud","name"`, `level: got "loud", accepted: one of debug, info, warn, error`},
		{"peer", `"name"`, `"peers":["192.0.2.3:1","x"],"name"`, `peers[1]: got "x", accepted: an IP address with a port, such as 10.0.0.1:8080`},
		{"label", "host-1", "host 1", `name: got "host 1", accepted: not empty, at most 64 characters, only letters, digits, dots, underscores and hyphens, the first one a letter or digit`},
		{
			"all at once", `"domain":"a"`, `"body":1,"connections":0,"domain":""`,
			"3 faults\n  domain: is missing, accepted: not empty, at most 64 characters, only letters, digits, dots, underscores and hyphens, the first one a letter or digit" +
				"\n  body: got 1, accepted: at least 1024, at most 16777216\n  connections: got 0, accepted: at least 1, at most 65536",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, faults := parser.ParseSettings([]byte(strings.Replace(validSettings, test.from, test.to, 1)))
			if got := faultText(faults); got != test.want {
				t.Errorf("faults: got %q, want %q", got, test.want)
			}
		})
	}
}

// faultText returns the faults as an operator sees them, or an empty string without faults.
func faultText(faults encoder.Faults) string {
	if len(faults) == 0 {
		return ""
	}
	return faults.Error()
}

// TestLoadSettings guards against an error that does not name the file.
func TestLoadSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(`{"name":1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := parser.LoadSettings(path)
	if err == nil || !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), "name: must be a text") {
		t.Errorf("error: got %v, want the path and the field", err)
	}
}

// FuzzParseSettings guards against settings files that crash the program, and against
// accepting settings without a required value.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"peers":[null],"workers":1e99,"token":"\ud800"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, faults := parser.ParseSettings(data)
		if len(faults) == 0 && (settings.Name == "" || settings.AdminAddress == "" || settings.Workers < 1) {
			t.Errorf("settings: got %+v without a fault, want one", settings)
		}
	})
}
