package configuration

import (
	_ "embed" // for the state chart

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/chart"
)

//go:embed domain.chart
var domainChartText string

// DomainEvent is an event of a failure domain, caused by an operator's command.
type DomainEvent string

// Events of a failure domain.
const (
	DomainTakenOut DomainEvent = "TakenOut"
	DomainReturned DomainEvent = "Returned"
)

// NextDomainState returns the state of a failure domain after an event. It
// returns an error if the chart is malformed or has no such transition.
func NextDomainState(state bramleyfall.DomainState, event DomainEvent) (bramleyfall.DomainState, error) {
	c, err := chart.Parse("configuration/domain.chart", domainChartText,
		[]string{string(bramleyfall.DomainIn), string(bramleyfall.DomainOut)},
		[]string{string(DomainTakenOut), string(DomainReturned)})
	if err != nil {
		return state, err
	}
	next, ok := c.Fire(c.State(string(state)), c.Event(string(event)))
	if !ok {
		return state, bramleyfall.Errorf(bramleyfall.NotAccepted, "a failure domain that is %s can't be %s", state, event)
	}
	return bramleyfall.DomainState(c.StateName(next)), nil
}
