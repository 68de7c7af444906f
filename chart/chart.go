// Package chart implements state machines that are defined by state charts in
// text files. Other packages embed a chart and pass it to Parse.
//
// A chart has one statement per line: "State Name" declares a state and
// "On Name Event -> Next" a transition. Lines that start with # are comments.
// Parse receives the states and events that the code handles; a chart that names
// any other is rejected with file and line.
package chart

import (
	"fmt"
	"slices"
	"strings"

	"bramleyfall.example/bramleyfall"
)

// ID is the index of a state or an event in a Chart.
type ID uint8

// noTransition marks an event that the chart does not allow in a state.
const noTransition ID = 255

// Chart is a set of states with the transitions between them. It is immutable.
type Chart struct {
	name   string
	states []string
	events []string
	// transitions holds the next state, indexed by state*len(events)+event.
	transitions []ID
}

// Parse parses a chart. Name is the file name for error messages; states and
// events are those that the code handles. The chart must declare all states.
func Parse(name, text string, states, events []string) (*Chart, error) {
	c := &Chart{name: name, states: states, events: events, transitions: make([]ID, len(states)*len(events))}
	for i := range c.transitions {
		c.transitions[i] = noTransition
	}
	declared := make(map[string]bool)
	for i, line := range strings.Split(text, "\n") {
		if err := c.parseLine(strings.Fields(line), declared); err != nil {
			return nil, bramleyfall.Errorf(bramleyfall.BadSetting, "%s:%d: %v", name, i+1, err)
		}
	}
	for _, s := range states {
		if !declared[s] {
			return nil, bramleyfall.Errorf(bramleyfall.BadSetting, "%s: state %s is not declared", name, s)
		}
	}
	return c, nil
}

func (c *Chart) parseLine(fields []string, declared map[string]bool) error {
	switch {
	case len(fields) == 0 || strings.HasPrefix(fields[0], "#"):
		return nil
	case len(fields) == 2 && fields[0] == "State":
		if !slices.Contains(c.states, fields[1]) {
			return fmt.Errorf("unknown state %s", fields[1])
		}
		declared[fields[1]] = true
		return nil
	case len(fields) == 5 && fields[0] == "On" && fields[3] == "->":
		return c.parseTransition(fields[1], fields[2], fields[4], declared)
	}
	return fmt.Errorf("expected \"State Name\" or \"On Name Event -> Next\", found %q", strings.Join(fields, " "))
}

func (c *Chart) parseTransition(from, event, to string, declared map[string]bool) error {
	for _, s := range []string{from, to} {
		if !declared[s] {
			return fmt.Errorf("unknown state %s", s)
		}
	}
	e := slices.Index(c.events, event)
	if e < 0 {
		return fmt.Errorf("unknown event %s", event)
	}
	c.transitions[slices.Index(c.states, from)*len(c.events)+e] = ID(slices.Index(c.states, to))
	return nil
}

// State returns the ID of a state that was passed to Parse.
func (c *Chart) State(name string) ID { return ID(slices.Index(c.states, name)) }

// Event returns the ID of an event that was passed to Parse.
func (c *Chart) Event(name string) ID { return ID(slices.Index(c.events, name)) }

// StateName returns the name of a state.
func (c *Chart) StateName(state ID) string { return c.states[state] }

// Fire returns the state that follows the state from on event, and whether the
// chart allows the event in that state. If not, it returns from.
func (c *Chart) Fire(from, event ID) (ID, bool) {
	next := c.transitions[int(from)*len(c.events)+int(event)]
	if next == noTransition {
		return from, false
	}
	return next, true
}
