// Package matcher matches calls to routes by authority and path prefix.
package matcher

import (
	"slices"
	"strings"

	"wigeonspindle.example/wigeonspindle"
)

// Matcher holds the routes of one catalog by authority. It is immutable after New.
type Matcher struct {
	// routesByAuthority holds the routes of each authority by prefix length, longest first.
	routesByAuthority map[string][]*wigeonspindle.Route
}

// New indexes the routes of a catalog. Authorities are matched without regard to case.
func New(catalog *wigeonspindle.Catalog) *Matcher {
	m := &Matcher{routesByAuthority: make(map[string][]*wigeonspindle.Route)}
	for i := range catalog.Routes {
		route := &catalog.Routes[i]
		authority := strings.ToLower(route.Authority)
		m.routesByAuthority[authority] = append(m.routesByAuthority[authority], route)
	}
	for _, routes := range m.routesByAuthority {
		slices.SortStableFunc(routes, func(a, b *wigeonspindle.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return m
}

// Match returns the route of the authority whose prefix is the longest match for the path, or
// nil. A port in the authority is ignored.
func (m *Matcher) Match(authority, path string) *wigeonspindle.Route {
	for _, route := range m.routesByAuthority[strings.ToLower(stripPort(authority))] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

func stripPort(authority string) string {
	if colon := strings.LastIndexByte(authority, ':'); colon > strings.LastIndexByte(authority, ']') {
		return authority[:colon]
	}
	return authority
}
