package validator

import (
	"fmt"
	"reflect"

	"wigeonspindle.example/wigeonspindle"
)

// maxSummaryLines bounds a summary, because the store keeps the history of 100 entries in one
// document.
const maxSummaryLines = 40

// Summary lists the differences between two configurations, one line each.
func Summary(before, after wigeonspindle.Config) []string {
	var lines []string
	lines = append(lines, diffFields("rules", reflect.ValueOf(before.Rules), reflect.ValueOf(after.Rules))...)
	lines = append(lines, diffLists("domain", before.Domains, after.Domains,
		func(d wigeonspindle.Domain) string { return d.Name }, diffDomains)...)
	lines = append(lines, diffLists("index", before.Indexes, after.Indexes,
		func(i wigeonspindle.Index) string { return i.Name }, diffIndexes)...)
	if len(lines) > maxSummaryLines {
		rest := len(lines) - maxSummaryLines + 1
		lines = append(lines[:maxSummaryLines-1], fmt.Sprintf("%d more differences", rest))
	}
	return lines
}

// EqualIgnoringRevision reports whether two versions of an index are equal except for their
// revision.
func EqualIgnoringRevision(a, b wigeonspindle.Index) bool {
	a.ModRevision, b.ModRevision = 0, 0
	return reflect.DeepEqual(a, b)
}

// diffLists describes the added, removed and changed elements of two lists with unique names.
func diffLists[T any](kind string, before, after []T, name func(T) string, changed func(T, T) []string) []string {
	unmatched := make(map[string]T, len(before))
	for _, element := range before {
		unmatched[name(element)] = element
	}
	var lines []string
	for _, element := range after {
		previous, ok := unmatched[name(element)]
		if !ok {
			lines = append(lines, fmt.Sprintf("%s %s added", kind, name(element)))
			continue
		}
		delete(unmatched, name(element))
		lines = append(lines, changed(previous, element)...)
	}
	for _, element := range before {
		if _, ok := unmatched[name(element)]; ok {
			lines = append(lines, fmt.Sprintf("%s %s removed", kind, name(element)))
		}
	}
	return lines
}

func diffDomains(before, after wigeonspindle.Domain) []string {
	switch {
	case before.Out == after.Out:
		return nil
	case after.Out:
		return []string{fmt.Sprintf("domain %s taken out of service", after.Name)}
	}
	return []string{fmt.Sprintf("domain %s brought back", after.Name)}
}

func diffIndexes(before, after wigeonspindle.Index) []string {
	path := "index " + after.Name
	var lines []string
	if before.Preference != after.Preference {
		lines = append(lines, fmt.Sprintf("%s: prefer: %s to %s", path, before.Preference, after.Preference))
	}
	lines = append(lines, diffLists(path+": snapshot", before.Snapshots, after.Snapshots,
		func(s wigeonspindle.Snapshot) string { return s.Version },
		func(a, b wigeonspindle.Snapshot) []string {
			return diffFields(path+": snapshot "+b.Version, reflect.ValueOf(a), reflect.ValueOf(b))
		})...)
	return append(lines, diffLists(path+": target", before.Targets, after.Targets,
		func(t wigeonspindle.Target) string { return t.Name },
		func(a, b wigeonspindle.Target) []string {
			return diffFields(path+": target "+b.Name, reflect.ValueOf(a), reflect.ValueOf(b))
		})...)
}

// diffFields describes the fields in which two structs of one type differ.
func diffFields(path string, before, after reflect.Value) []string {
	var lines []string
	for i := range before.NumField() {
		a, b := before.Field(i).Interface(), after.Field(i).Interface()
		if reflect.DeepEqual(a, b) {
			continue
		}
		name := before.Type().Field(i).Name
		if before.Field(i).Kind() == reflect.Slice {
			lines = append(lines, fmt.Sprintf("%s: %s: %d to %d elements", path, name, before.Field(i).Len(), after.Field(i).Len()))
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: %s: %v to %v", path, name, a, b))
	}
	return lines
}
