package launcher

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

const (
	controlSize   = 1024
	controlPeriod = 100 * time.Millisecond
	pollPeriod    = time.Second
	storeRetry    = 500 * time.Millisecond
	watchTimeout  = 30 * time.Second
)

// ConfigKey is the store's key of the configuration.
const ConfigKey = "config"

// controlLoop is the duty that decides on membership and configuration.
type controlLoop struct {
	host    *Host
	inputs  *queuer.Ring[controlInput]
	members map[string]wigeonspindle.Member
	linked  map[string]wigeonspindle.Host
}

// controlInput is a message of another host or news from the platform.
type controlInput struct {
	message  wigeonspindle.Envelope
	reply    wigeonspindle.Reply
	listings []wigeonspindle.Listing
	config   *wigeonspindle.Config
}

func newControlLoop(host *Host) *controlLoop {
	return &controlLoop{
		host: host, inputs: queuer.New[controlInput](controlSize),
		members: make(map[string]wigeonspindle.Member), linked: make(map[string]wigeonspindle.Host),
	}
}

func (l *controlLoop) run() {
	ticker := time.NewTicker(controlPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-l.host.stop:
			return
		case input := <-l.inputs.C():
			l.input(input)
		case <-ticker.C:
			l.tick()
		}
	}
}

func (l *controlLoop) input(input controlInput) {
	switch {
	case input.message.Heartbeat != nil:
		heartbeat := input.message.Heartbeat
		member := wigeonspindle.Member{Host: heartbeat.Host, Condition: wigeonspindle.Live, Heard: l.host.Clock.Now()}
		if heartbeat.Leaving {
			member.Condition = wigeonspindle.Leaving
		}
		l.members[heartbeat.Host.Name] = member
	case input.listings != nil:
		l.connect(input.listings)
	case input.config != nil:
		if l.host.holder.Offer(input.config) {
			l.host.recorder.Record(wigeonspindle.Event{Kind: wigeonspindle.EventConfigured, Revision: input.config.Revision})
		}
	}
}

func (l *controlLoop) connect(listings []wigeonspindle.Listing) {
	var hosts []wigeonspindle.Host
	for _, listing := range listings {
		hosts = append(hosts, wigeonspindle.Host{Name: listing.Name, Link: listing.Link})
	}
	l.host.linker.Connect(hosts)
}

func (l *controlLoop) tick() {
	now := l.host.Clock.Now()
	l.members[l.host.self.Name] = wigeonspindle.Member{Host: l.host.self, Condition: wigeonspindle.Live, Heard: now}
	view := &wigeonspindle.View{Self: l.host.self}
	for name, member := range l.members {
		if now.Sub(member.Heard) > wigeonspindle.SilenceLimit {
			member.Condition = wigeonspindle.Suspect
			l.members[name] = member
		}
		view.Members = append(view.Members, member)
	}
	slices.SortFunc(view.Members, func(a, b wigeonspindle.Member) int { return strings.Compare(a.Host.Name, b.Host.Name) })
	l.host.view.Store(view)
}

// poll is the duty that reads the host list.
func (l *controlLoop) poll() {
	for {
		listings, err := l.host.Lister.List(context.Background())
		if err != nil {
			l.host.Logger.Warn("host list not read", "error", err)
		} else {
			l.inputs.Offer(controlInput{listings: listings})
		}
		select {
		case <-l.host.stop:
			return
		case <-time.After(pollPeriod):
		}
	}
}

// watch is the duty that waits for new configurations in the store.
func (l *controlLoop) watch() {
	var version uint64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-l.host.stop
		cancel()
	}()
	for ctx.Err() == nil {
		watching, done := context.WithTimeout(ctx, watchTimeout)
		record, err := l.host.Store.Watch(watching, ConfigKey, version)
		done()
		var config wigeonspindle.Config
		if err == nil {
			err = json.Unmarshal(record.Value, &config)
		}
		if err != nil {
			l.host.Logger.Warn("store watch failed", "error", err)
			select {
			case <-ctx.Done():
			case <-time.After(storeRetry):
			}
			continue
		}
		version = record.Version
		l.inputs.Offer(controlInput{config: &config})
	}
}
