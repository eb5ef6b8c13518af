package recorder

import (
	"slices"
	"strings"

	"wigeonspindle.example/wigeonspindle"
)

// Select returns the events that match a filter, in the given order.
func Select(events []wigeonspindle.Event, filter wigeonspindle.EventFilter) []wigeonspindle.Event {
	selected := make([]wigeonspindle.Event, 0)
	for _, event := range events {
		if matches(event, filter) {
			selected = append(selected, event)
		}
	}
	return selected
}

func matches(event wigeonspindle.Event, filter wigeonspindle.EventFilter) bool {
	wall := event.Stamp.Wall
	return (filter.Trace == "" || event.Trace == filter.Trace) &&
		(filter.Target == "" || event.Target == filter.Target) &&
		(filter.Since.IsZero() || !wall.Before(filter.Since)) &&
		(filter.Until.IsZero() || wall.Before(filter.Until))
}

// Merge returns the events of several hosts in an order in which no effect precedes its
// cause. Events with equal stamps are not causally related and are ordered by host name.
func Merge(hosts ...[]wigeonspindle.Event) []wigeonspindle.Event {
	merged := slices.Concat(hosts...)
	slices.SortStableFunc(merged, func(a, b wigeonspindle.Event) int {
		switch {
		case a.Stamp.Less(b.Stamp):
			return -1
		case b.Stamp.Less(a.Stamp):
			return 1
		}
		return strings.Compare(a.Host, b.Host)
	})
	return merged
}
