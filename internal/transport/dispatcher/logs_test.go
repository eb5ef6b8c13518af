package dispatcher_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"

	"wigeonspindle.example/wigeonspindle"
)

// TestIdentityInLogs guards against crashes of one call that have different fingerprints for a reason that the logs do
// not show.
func TestIdentityInLogs(t *testing.T) {
	defer goleak.VerifyNone(t)
	var lines bytes.Buffer
	d := newDispatcher(&countingClock{}, make(chan wigeonspindle.Suspicion, 8))
	d.Logger = log.NewWithOptions(&lines, log.Options{Formatter: log.LogfmtFormatter})
	d.Run()
	d.UpdateDeployment(orderDeployment(&wigeonspindle.Replica{ID: "r", Pool: "pool", Address: crashingTarget(t), Domain: "a", Slots: 2}))
	crashReplica(d)
	d.Close()
	for line := range strings.Lines(lines.String()) {
		if !strings.Contains(line, "send to replica failed") {
			continue
		}
		for _, want := range []string{"fingerprint=", "caller=192.0.2.1", "method=POST", "authority=h", "uri=/x", "uri_bytes=2", "body_bytes=0", "body_hash="} {
			if !strings.Contains(line, want) {
				t.Errorf("line of a broken send: got %q, want %q in it", line, want)
			}
		}
		return
	}
	t.Errorf("log: got %q, want the line of a broken send", lines.String())
}
