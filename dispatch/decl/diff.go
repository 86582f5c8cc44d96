package decl

import (
	"fmt"
	"strings"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

// Diff lists the changes that turn a into b, one line each: added and changed elements, then
// removed ones, each in the order of services, teams, failure domains and servers. An empty list
// means that a and b are equal up to the order of their elements.
func Diff(a, b *poplargwv1.Config) []string {
	return diffElements(flatten(a), flatten(b))
}

// element is a declared element with its fields in the form name=value.
type element struct {
	name   string
	fields []string
}

// flatten lists the elements of a configuration in the order of Diff.
func flatten(c *poplargwv1.Config) []element {
	var elements []element
	for _, s := range c.GetServices() {
		elements = append(elements, element{name: "service " + s.GetName()})
		for _, k := range s.GetKinds() {
			elements = append(elements, element{"service " + s.GetName() + " kind " + k.GetName(), kindFields(k)})
		}
	}
	for _, t := range c.GetTeams() {
		elements = append(elements, element{"team " + t.GetName(), []string{fmt.Sprint("quota_slots=", t.GetQuotaSlots())}})
	}
	for _, d := range c.GetDomains() {
		elements = append(elements, element{"domain " + d.GetName(), []string{"region=" + d.GetRegion(), fmt.Sprint("out=", d.GetOut())}})
	}
	for _, s := range c.GetServers() {
		elements = append(elements, element{"server " + s.GetServer(), []string{fmt.Sprint("out=", s.GetOut())}})
	}
	return elements
}

func kindFields(k *poplargwv1.Kind) []string {
	fields := []string{
		fmt.Sprint("priority=", k.GetPriority()),
		fmt.Sprint("urgent=", k.GetUrgent()),
		fmt.Sprint("repeatable=", k.GetRepeatable()),
		fmt.Sprint("time_limit=", k.GetTimeLimit().AsDuration()),
		fmt.Sprint("slots=", k.GetSlots()),
	}
	if o := k.GetObjective(); o != nil {
		fields = append(fields, fmt.Sprintf("objective=%v@%v", o.GetResponseTime().AsDuration(), o.GetTarget()))
	}
	return fields
}

// diffElements matches the elements of a and b by name and returns a line for each difference.
func diffElements(a, b []element) []string {
	before := make(map[string]element, len(a))
	for _, e := range a {
		before[e.name] = e
	}
	var lines []string
	for _, e := range b {
		old, ok := before[e.name]
		delete(before, e.name)
		if !ok {
			lines = append(lines, strings.TrimSpace("+ "+e.name+" "+strings.Join(e.fields, " ")))
		} else if changed := changedFields(old.fields, e.fields); changed != "" {
			lines = append(lines, "~ "+e.name+changed)
		}
	}
	for _, e := range a {
		if _, removed := before[e.name]; removed {
			lines = append(lines, "- "+e.name)
		}
	}
	return lines
}

// changedFields lists the fields that differ between a and b, each as " name: old -> new".
func changedFields(a, b []string) string {
	before := make(map[string]string)
	for _, f := range a {
		name, value, _ := strings.Cut(f, "=")
		before[name] = value
	}
	var out strings.Builder
	for _, f := range b {
		name, value, _ := strings.Cut(f, "=")
		old, ok := before[name]
		delete(before, name)
		if !ok {
			old = "unset"
		}
		if old != value {
			fmt.Fprintf(&out, " %s: %s -> %s", name, old, value)
		}
	}
	for _, f := range a {
		name, value, _ := strings.Cut(f, "=")
		if _, removed := before[name]; removed {
			fmt.Fprintf(&out, " %s: %s -> unset", name, value)
		}
	}
	return out.String()
}
