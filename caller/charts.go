package caller

import (
	_ "embed" // for the state charts

	"bramleyfall.example/bramleyfall/chart"
)

//go:embed flow.chart
var flowChartText string

//go:embed upstream.chart
var upstreamChartText string

// flowChart is the chart of a flow with the IDs that the code uses.
type flowChart struct {
	*chart.Chart
	opening, halfOpen, established, closed         chart.ID
	accepted, acknowledged, callerFin, upstreamFin chart.ID
	reset, expired, reopened                       chart.ID
}

func newFlowChart() (flowChart, error) {
	c, err := chart.Parse("caller/flow.chart", flowChartText,
		[]string{"Opening", "HalfOpen", "Established", "CallerDone", "UpstreamDone", "Closed"},
		[]string{"UpstreamAccepted", "CallerAcknowledged", "CallerFinished", "UpstreamFinished", "Reset", "Expired", "Reopened"})
	if err != nil {
		return flowChart{}, err
	}
	return flowChart{
		Chart:   c,
		opening: c.State("Opening"), halfOpen: c.State("HalfOpen"),
		established: c.State("Established"), closed: c.State("Closed"),
		accepted: c.Event("UpstreamAccepted"), acknowledged: c.Event("CallerAcknowledged"),
		callerFin: c.Event("CallerFinished"), upstreamFin: c.Event("UpstreamFinished"),
		reset: c.Event("Reset"), expired: c.Event("Expired"), reopened: c.Event("Reopened"),
	}, nil
}

// UpstreamState is the state of an upstream, as caller/upstream.chart has it.
type UpstreamState string

// The states of an upstream.
const (
	UpstreamAbsent   UpstreamState = "Absent"
	UpstreamWarming  UpstreamState = "Warming"
	UpstreamServing  UpstreamState = "Serving"
	UpstreamDraining UpstreamState = "Draining"
)

// upstreamEvent is an event of the upstream's chart.
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
