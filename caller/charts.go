package caller

import (
	_ "embed" // for the state charts

	"bramleyfall.example/bramleyfall/chart"
)

//go:embed flow.chart
var flowChartText string

//go:embed upstream.chart
var upstreamChartText string

// FlowChart is the state chart of a flow with the IDs of its states and events.
type FlowChart struct {
	*chart.Chart
	Opening, HalfOpen, Established, Closed         chart.ID
	Accepted, Acknowledged, CallerFin, UpstreamFin chart.ID
	Reset, Expired, Reopened                       chart.ID
}

// NewFlowChart parses caller/flow.chart.
func NewFlowChart() (FlowChart, error) {
	c, err := chart.Parse("caller/flow.chart", flowChartText,
		[]string{"Opening", "HalfOpen", "Established", "CallerDone", "UpstreamDone", "Closed"},
		[]string{"UpstreamAccepted", "CallerAcknowledged", "CallerFinished", "UpstreamFinished", "Reset", "Expired", "Reopened"})
	if err != nil {
		return FlowChart{}, err
	}
	return FlowChart{
		Chart:   c,
		Opening: c.State("Opening"), HalfOpen: c.State("HalfOpen"),
		Established: c.State("Established"), Closed: c.State("Closed"),
		Accepted: c.Event("UpstreamAccepted"), Acknowledged: c.Event("CallerAcknowledged"),
		CallerFin: c.Event("CallerFinished"), UpstreamFin: c.Event("UpstreamFinished"),
		Reset: c.Event("Reset"), Expired: c.Event("Expired"), Reopened: c.Event("Reopened"),
	}, nil
}

// UpstreamState is the name of a state in caller/upstream.chart.
type UpstreamState string

// The states of an upstream.
const (
	UpstreamAbsent   UpstreamState = "Absent"
	UpstreamWarming  UpstreamState = "Warming"
	UpstreamServing  UpstreamState = "Serving"
	UpstreamDraining UpstreamState = "Draining"
)

// upstreamEvent is the name of an event in caller/upstream.chart.
type upstreamEvent string

const (
	eventStarted  upstreamEvent = "Started"
	eventWarmedUp upstreamEvent = "WarmedUp"
	eventDrained  upstreamEvent = "Drained"
	eventReturned upstreamEvent = "Returned"
	eventGone     upstreamEvent = "Gone"
)

func newUpstreamChart() (*chart.Chart, error) {
	return chart.Parse("caller/upstream.chart", upstreamChartText,
		[]string{string(UpstreamAbsent), string(UpstreamWarming), string(UpstreamServing), string(UpstreamDraining)},
		[]string{
			string(eventStarted), string(eventWarmedUp),
			string(eventDrained), string(eventReturned), string(eventGone),
		})
}
