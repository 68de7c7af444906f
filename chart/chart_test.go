package chart_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall/chart"
)

func TestParseNamesFileAndLineOfAFault(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"unknown state", "State In\nState Away\n", "domain.chart:2: unknown state Away"},
		{"unknown event", "State In\nState Out\nOn In Gone -> Out\n", "domain.chart:3: unknown event Gone"},
		{"undeclared state in a transition", "State In\nOn In Taken -> Out\n", "domain.chart:2: unknown state Out"},
		{"missing state", "State In\n", "domain.chart: state Out is not declared"},
		{"no statement", "State In\nwhat\n", `domain.chart:2: expected "State Name"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := chart.Parse("domain.chart", test.text, []string{"In", "Out"}, []string{"Taken"})
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want)) // the message names file and line
		})
	}
}

func TestFire(t *testing.T) {
	is := is.New(t)
	c, err := chart.Parse("c", "# comment\nState In\nState Out\nOn In Taken -> Out\n", []string{"In", "Out"}, []string{"Taken"})
	is.NoErr(err)
	next, ok := c.Fire(c.State("In"), c.Event("Taken"))
	is.True(ok)
	is.Equal(c.StateName(next), "Out")
	_, ok = c.Fire(next, c.Event("Taken"))
	is.True(!ok)
}
