package recorder

import (
	"slices"
	"strconv"
	"time"

	"github.com/charmbracelet/log"

	"wigeonspindle.example/wigeonspindle"
)

// logLevels maps kinds of events to log levels. All other kinds are logged at debug level,
// because they occur for every request or attempt.
var logLevels = map[wigeonspindle.EventKind]log.Level{
	wigeonspindle.EventRefused:    log.InfoLevel,
	wigeonspindle.EventOwned:      log.InfoLevel,
	wigeonspindle.EventReleased:   log.InfoLevel,
	wigeonspindle.EventLapsed:     log.WarnLevel,
	wigeonspindle.EventCooled:     log.WarnLevel,
	wigeonspindle.EventConfigured: log.InfoLevel,
	wigeonspindle.EventMember:     log.InfoLevel,
	wigeonspindle.EventSeated:     log.InfoLevel,
	wigeonspindle.EventDomain:     log.WarnLevel,
	wigeonspindle.EventQuarantine: log.WarnLevel,
	wigeonspindle.EventDrain:      log.InfoLevel,
	wigeonspindle.EventLink:       log.InfoLevel,
	wigeonspindle.EventStore:      log.WarnLevel,
}

// LogSink implements wigeonspindle.EventSink by logging each event.
type LogSink struct {
	Logger *log.Logger
}

// Write logs an event at the level of its kind, without the fields that are empty.
func (s *LogSink) Write(event wigeonspindle.Event) {
	level, ok := logLevels[event.Kind]
	if !ok {
		level = log.DebugLevel
	}
	if level < s.Logger.GetLevel() {
		return
	}
	keyvals := []any{"host", event.Host}
	for _, field := range Fields(event) {
		keyvals = append(keyvals, field.Key, field.Value)
	}
	keyvals = append(keyvals, "stamp", event.Stamp.Wall.Format(time.RFC3339Nano), "logical", event.Stamp.Logical)
	s.Logger.Log(level, string(event.Kind), keyvals...)
}

// Field is a key and value of an event in logs and in the printed timeline.
type Field struct {
	Key   string
	Value string
}

// Fields returns the non-empty fields of an event, except its stamp, host and kind.
func Fields(event wigeonspindle.Event) []Field {
	fields := []Field{
		{"domain", event.Domain},
		{"request", event.Trace},
		{"shard", event.Shard},
		{"target", event.Target},
		{"peer", event.Peer},
		{"verdict", event.Verdict},
		{"detail", event.Detail},
	}
	if event.Revision != 0 {
		fields = append(fields, Field{"revision", strconv.FormatUint(uint64(event.Revision), 10)})
	}
	return slices.DeleteFunc(fields, func(field Field) bool { return field.Value == "" })
}
