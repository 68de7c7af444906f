// Package chart interprets state charts that stand in text files.
//
// A file has one statement a line: "State Name" declares a state and
// "On Name Event -> Next" a transition. Lines that start with # are comments.
// A reader states which states and events its code knows; a file that names
// another is rejected with file and line.
package chart

import (
	"fmt"
	"slices"
	"strings"

	"bramleyfall.example/bramleyfall"
)

// ID is the index of a state or an event in a Chart.
type ID uint8

// none marks a transition that the chart does not allow.
const none ID = 255

// Chart is a set of states with the transitions between them. It is immutable.
type Chart struct {
	name   string
	states []string
	events []string
	next   []ID
}

// Parse reads a chart. Name is the file name for error messages; states and
// events are those that the code knows.
func Parse(name, text string, states, events []string) (*Chart, error) {
	c := &Chart{name: name, states: states, events: events, next: make([]ID, len(states)*len(events))}
	for i := range c.next {
		c.next[i] = none
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

func (c *Chart) parseLine(words []string, declared map[string]bool) error {
	switch {
	case len(words) == 0 || strings.HasPrefix(words[0], "#"):
		return nil
	case len(words) == 2 && words[0] == "State":
		if !slices.Contains(c.states, words[1]) {
			return fmt.Errorf("unknown state %s", words[1])
		}
		declared[words[1]] = true
		return nil
	case len(words) == 5 && words[0] == "On" && words[3] == "->":
		return c.parseTransition(words[1], words[2], words[4], declared)
	}
	return fmt.Errorf("expected \"State Name\" or \"On Name Event -> Next\", found %q", strings.Join(words, " "))
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
	c.next[slices.Index(c.states, from)*len(c.events)+e] = ID(slices.Index(c.states, to))
	return nil
}

// State returns the ID of a state that the code knows.
func (c *Chart) State(name string) ID { return ID(slices.Index(c.states, name)) }

// Event returns the ID of an event that the code knows.
func (c *Chart) Event(name string) ID { return ID(slices.Index(c.events, name)) }

// StateName returns the name of a state.
func (c *Chart) StateName(state ID) string { return c.states[state] }

// Fire returns the state that follows from on event, and whether the chart
// allows the event there. If not, the state stays.
func (c *Chart) Fire(from, event ID) (ID, bool) {
	next := c.next[int(from)*len(c.events)+int(event)]
	if next == none {
		return from, false
	}
	return next, true
}
