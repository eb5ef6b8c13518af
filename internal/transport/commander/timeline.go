package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/state/recorder"
)

// maxConcurrentRequests bounds the number of hosts that are queried concurrently.
const maxConcurrentRequests = 16

// timelineCommand prints the merged events of all hosts in the order of their stamps.
type timelineCommand struct {
	clientOptions
	Hosts  []string `long:"host" value-name:"IP:PORT" description:"operators' address of a host to ask, repeatable; default: the members that --address knows"`
	Trace  string   `long:"trace" description:"only events of this request, as named in its answer"`
	Target string   `long:"target" description:"only events of this target"`
	Since  string   `long:"since" description:"only events from this time on, such as 2026-01-02T15:04:05Z, or for this long, such as 10m"`
	Until  string   `long:"until" description:"only events before this time"`
	JSON   bool     `long:"json" description:"print one JSON object for each event"`

	commander *Commander
}

// hostEvents holds the events of one host, or the error of the request for them.
type hostEvents struct {
	address string
	events  []wigeonspindle.Event
	err     error
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	query, err := c.query(time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := c.withTimeout()
	defer cancel()
	addresses, err := c.addresses(ctx)
	if err != nil {
		return err
	}
	responses := c.fetch(ctx, addresses, query)
	var lists [][]wigeonspindle.Event
	var missing []string
	for _, response := range responses {
		lists = append(lists, response.events)
		if response.err != nil {
			missing = append(missing, response.address)
			_, _ = fmt.Fprintf(c.commander.Err, "no answer from %s: %v\n", response.address, response.err)
		}
	}
	if err := c.print(recorder.Merge(lists...)); err != nil {
		return err
	}
	if len(missing) > 0 {
		return errors.Wrapf(errPartial, "%d of %d hosts are missing: %s", len(missing), len(addresses), strings.Join(missing, ", "))
	}
	return nil
}

// query returns the event filter as a URL query string, with durations resolved against now.
func (c *timelineCommand) query(now time.Time) (string, error) {
	values := url.Values{}
	for name, text := range map[string]string{"trace": c.Trace, "target": c.Target} {
		if text != "" {
			values.Set(name, text)
		}
	}
	for name, text := range map[string]string{"since": c.Since, "until": c.Until} {
		if text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, text)
		if age, durationErr := time.ParseDuration(text); err != nil && durationErr == nil {
			at, err = now.Add(-age), nil
		}
		if err != nil {
			return "", errors.Wrapf(errUsage, "--%s must be a time such as 2026-01-02T15:04:05Z or a duration such as 10m, got %q", name, text)
		}
		values.Set(name, at.UTC().Format(time.RFC3339Nano))
	}
	return values.Encode(), nil
}

// addresses returns the operators' addresses of the hosts to query.
func (c *timelineCommand) addresses(ctx context.Context) ([]string, error) {
	if len(c.Hosts) > 0 {
		return c.Hosts, nil
	}
	var status wigeonspindle.Status
	if err := c.get(ctx, "/status", &status); err != nil {
		return nil, err
	}
	addresses := []string{c.Address}
	for _, member := range status.Members {
		if member.Host.Name != status.Host.Name && member.Host.AdminAddress != "" {
			addresses = append(addresses, member.Host.AdminAddress)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses), nil
}

// fetch queries all hosts concurrently and waits until each has answered or the context ends.
func (c *timelineCommand) fetch(ctx context.Context, addresses []string, query string) []hostEvents {
	responses := make([]hostEvents, len(addresses))
	var group errgroup.Group
	var mutex sync.Mutex
	group.SetLimit(maxConcurrentRequests)
	for i, address := range addresses {
		group.Go(func() error {
			var list encoder.EventList
			err := c.call(ctx, http.MethodGet, address, "/events?"+query, nil, &list)
			responses[i] = hostEvents{address: address, events: list.Events, err: err}
			mutex.Lock()
			defer mutex.Unlock()
			_, _ = fmt.Fprintf(c.commander.Err, "queried %s: %d events\n", address, len(list.Events))
			return nil
		})
	}
	_ = group.Wait() // The functions always return nil.
	return responses
}

func (c *timelineCommand) print(events []wigeonspindle.Event) error {
	for _, event := range events {
		line := formatEvent(event)
		if c.JSON {
			data, err := json.Marshal(event)
			if err != nil {
				return errors.Wrap(err, "encode event")
			}
			line = string(data)
		}
		if _, err := fmt.Fprintln(c.commander.Out, line); err != nil {
			return errors.Wrap(err, "write events")
		}
	}
	return nil
}

// formatEvent formats an event as one line.
func formatEvent(event wigeonspindle.Event) string {
	line := fmt.Sprintf("%s+%d %s %s", event.Stamp.Wall.UTC().Format("2006-01-02T15:04:05.000000000Z"),
		event.Stamp.Logical, event.Host, event.Kind)
	for _, field := range recorder.Fields(event) {
		line += fmt.Sprintf(" %s=%q", field.Key, field.Value)
	}
	return line
}
