package peer

import (
	_ "embed" // for the state chart

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/chart"
)

//go:embed instance.chart
var instanceChartText string

// instanceEvent is an event of the instance state chart.
type instanceEvent string

const (
	eventHeard    instanceEvent = "Heard"
	eventSilent   instanceEvent = "Silent"
	eventDrained  instanceEvent = "Drained"
	eventReturned instanceEvent = "Returned"
	eventStopped  instanceEvent = "Stopped"
)

// CheckChart returns an error if the instance state chart is invalid. Programs
// call it at startup.
func CheckChart() error {
	_, err := parseInstanceChart()
	return err
}

func parseInstanceChart() (*chart.Chart, error) {
	return chart.Parse("peer/instance.chart", instanceChartText,
		[]string{
			string(bramleyfall.MemberServing), string(bramleyfall.MemberDraining),
			string(bramleyfall.MemberLost), string(bramleyfall.MemberLeft),
		},
		[]string{string(eventHeard), string(eventSilent), string(eventDrained), string(eventReturned), string(eventStopped)})
}

// instanceChart is the parsed state chart. If the chart is invalid, it has no
// transitions; programs never use it then, since CheckChart fails at startup.
var instanceChart = func() *chart.Chart {
	c, err := parseInstanceChart()
	if err != nil {
		return &chart.Chart{}
	}
	return c
}()

// nextState returns the state after an event. It returns the same state and
// false if the chart has no transition for the event.
func nextState(state bramleyfall.MemberState, event instanceEvent) (bramleyfall.MemberState, bool) {
	next, ok := instanceChart.Fire(instanceChart.State(string(state)), instanceChart.Event(string(event)))
	if !ok {
		return state, false
	}
	return bramleyfall.MemberState(instanceChart.StateName(next)), true
}
