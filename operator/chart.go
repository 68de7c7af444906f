package operator

import (
	_ "embed" // for the state chart

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/chart"
)

//go:embed change.chart
var changeChartText string

// changeEvent is an event of the change chart.
type changeEvent string

const (
	eventCommitted   changeEvent = "Committed"
	eventRefused     changeEvent = "Refused"
	eventAnswerLost  changeEvent = "AnswerLost"
	eventFound       changeEvent = "Found"
	eventMissing     changeEvent = "Missing"
	eventAllReported changeEvent = "AllReported"
	eventSomeLag     changeEvent = "SomeLag"
)

// stateCodes maps each state except Proposed to its result code.
var stateCodes = map[string]bramleyfall.ResultCode{
	"Accepted": bramleyfall.Accepted, "InForce": bramleyfall.InForce,
	"NotAccepted": bramleyfall.NotAccepted, "Unknown": bramleyfall.Unknown,
}

// changeChart is the state chart of a change.
type changeChart struct {
	chart *chart.Chart
}

func newChangeChart() (*changeChart, error) {
	c, err := chart.Parse("operator/change.chart", changeChartText,
		[]string{"Proposed", "Accepted", "InForce", "NotAccepted", "Unknown"},
		[]string{
			string(eventCommitted), string(eventRefused), string(eventAnswerLost), string(eventFound),
			string(eventMissing), string(eventAllReported), string(eventSomeLag),
		})
	return &changeChart{chart: c}, err
}

// codeAfter returns the result code of a proposed change after the given events.
func (c *changeChart) codeAfter(events ...changeEvent) bramleyfall.ResultCode {
	state := c.chart.State("Proposed")
	for _, e := range events {
		state, _ = c.chart.Fire(state, c.chart.Event(string(e)))
	}
	return stateCodes[c.chart.StateName(state)]
}
