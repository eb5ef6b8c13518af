// Package matcher finds the route of a call.
package matcher

import (
	"slices"
	"strings"

	"wigeonspindle.example/wigeonspindle"
)

// Matcher finds routes of one catalog. It is immutable after New.
type Matcher struct {
	routes map[string][]*wigeonspindle.Route // routes are sorted by the length of their prefix, the longest first.
}

// New returns a matcher for the routes of a catalog.
func New(catalog *wigeonspindle.Catalog) *Matcher {
	m := &Matcher{routes: make(map[string][]*wigeonspindle.Route)}
	for i := range catalog.Routes {
		route := &catalog.Routes[i]
		authority := strings.ToLower(route.Authority)
		m.routes[authority] = append(m.routes[authority], route)
	}
	for _, routes := range m.routes {
		slices.SortStableFunc(routes, func(a, b *wigeonspindle.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return m
}

// Match returns the route with the longest prefix of a path, or nil.
func (m *Matcher) Match(authority, path string) *wigeonspindle.Route {
	for _, route := range m.routes[strings.ToLower(withoutPort(authority))] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

func withoutPort(authority string) string {
	if colon := strings.LastIndexByte(authority, ':'); colon > strings.LastIndexByte(authority, ']') {
		return authority[:colon]
	}
	return authority
}
