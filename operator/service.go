package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/etcd"
	"bramleyfall.example/bramleyfall/operator/operatorpb"
)

// submitTimeout limits the time for committing a change to the platform.
const submitTimeout = 8 * time.Second

// Service executes the statements that operators send to a balancer.
type Service struct {
	control Control
	writer  *etcd.Writer
	chart   *changeChart
}

var _ operatorpb.Operator = (*Service)(nil)

// NewService returns the service of a balancer. It returns an error if
// change.chart is malformed.
func NewService(control Control, writer *etcd.Writer) (*Service, error) {
	c, err := newChangeChart()
	return &Service{control: control, writer: writer, chart: c}, err
}

// Execute implements operatorpb.Operator. Invalid statements and rejected
// commands are reported by the result code of the reply, not as errors of the
// call.
func (s *Service) Execute(ctx context.Context, r *operatorpb.ExecuteRequest) (*operatorpb.ExecuteReply, error) {
	statement, err := Parse(r.Statement)
	if err != nil {
		return errorReply(err), nil
	}
	switch {
	case statement.Show != nil && statement.Show.Change != "":
		return s.showChange(ctx, bramleyfall.ChangeID(statement.Show.Change)), nil
	case statement.Show != nil:
		return s.executeShow(ctx, statement.Show), nil
	case statement.Explain != nil:
		table, message, err := explain(ctx, statement.Explain, s.control)
		if err != nil {
			return errorReply(err), nil
		}
		return tableReply(bramleyfall.OK, message, table), nil
	}
	return s.executeCommand(ctx, statement, r)
}

func (s *Service) executeShow(ctx context.Context, show *Show) *operatorpb.ExecuteReply {
	view, err := s.control.View(ctx)
	if err != nil {
		return errorReply(err)
	}
	table, err := Query(show, &view)
	if err != nil {
		return errorReply(err)
	}
	return tableReply(bramleyfall.OK, "", table)
}

func tableReply(code bramleyfall.ResultCode, message string, table Table) *operatorpb.ExecuteReply {
	reply := &operatorpb.ExecuteReply{Code: int32(code), Message: message, Columns: table.Columns}
	for _, row := range table.Rows {
		reply.Rows = append(reply.Rows, &operatorpb.Row{Cells: row})
	}
	return reply
}

func errorReply(err error) *operatorpb.ExecuteReply {
	code := bramleyfall.CodeOf(err)
	message, _ := strings.CutPrefix(err.Error(), fmt.Sprintf("%d %s: ", int(code), code))
	return &operatorpb.ExecuteReply{Code: int32(code), Message: message}
}

func (s *Service) executeCommand(ctx context.Context, statement *Statement, r *operatorpb.ExecuteRequest) (*operatorpb.ExecuteReply, error) {
	if r.ChangeId == "" && !r.DryRun {
		return nil, twirp.RequiredArgumentError("change_id")
	}
	proposal, err := Propose(statement)
	if err != nil {
		return errorReply(err), nil
	}
	view, err := s.control.View(ctx)
	if err != nil {
		return errorReply(err), nil
	}
	if r.DryRun {
		return dryRun(statement, &view, r.Force), nil
	}
	proposal.ID = bramleyfall.ChangeID(r.ChangeId)
	proposal.Actor = r.Actor
	proposal.Known, proposal.KnownID, proposal.Newest = view.Revision, view.LastChange, view.NewestRevision
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if reply, done := s.alreadyAccepted(ctx, proposal.ID); done {
		return reply, nil
	}
	if err := s.checkCommand(statement, &view, r.Force); err != nil {
		return errorReply(err), nil
	}
	change, err := s.writer.Submit(ctx, proposal)
	if err != nil {
		reply := errorReply(err)
		reply.ChangeId = r.ChangeId
		return reply, nil
	}
	s.control.ApplyChange(change)
	return acceptedReply(change, s.chart.codeAfter(eventCommitted)), nil
}

// alreadyAccepted returns the reply to a repeated command whose change is already
// accepted. It runs before the checks of the command, which would apply to a
// configuration that the command itself has changed.
func (s *Service) alreadyAccepted(ctx context.Context, id bramleyfall.ChangeID) (*operatorpb.ExecuteReply, bool) {
	change, found, err := s.writer.Find(ctx, id)
	if err != nil || !found {
		return nil, false
	}
	return acceptedReply(change, s.chart.codeAfter(eventFound)), true
}

func (s *Service) checkCommand(statement *Statement, view *View, force bool) error {
	if err := checkTarget(statement, view, force); err != nil {
		return err
	}
	return checkImpact(statement, view, force)
}

func acceptedReply(c bramleyfall.Change, code bramleyfall.ResultCode) *operatorpb.ExecuteReply {
	return &operatorpb.ExecuteReply{
		Code: int32(code), ChangeId: string(c.ID), Revision: uint64(c.Revision),
		Message: fmt.Sprintf("change %s is accepted at revision %d", c.ID, c.Revision),
	}
}

func dryRun(statement *Statement, view *View, force bool) *operatorpb.ExecuteReply {
	if err := checkImpact(statement, view, force); err != nil {
		reply := errorReply(err)
		reply.Message = "dry run: " + reply.Message
		return reply
	}
	impact := PredictImpact(statement, view)
	return tableReply(bramleyfall.OK, "dry run: nothing was changed", impact.Table)
}

// findChange looks up a change in the balancer, then in the platform.
func (s *Service) findChange(ctx context.Context, id bramleyfall.ChangeID) (bramleyfall.Change, bool, error) {
	if change, ok := s.control.FindChange(id); ok {
		return change, true, nil
	}
	return s.writer.Find(ctx, id)
}

// showChange reports whether a change was accepted and at how many instances it
// is in force.
func (s *Service) showChange(ctx context.Context, id bramleyfall.ChangeID) *operatorpb.ExecuteReply {
	change, found, err := s.findChange(ctx, id)
	if err != nil {
		return &operatorpb.ExecuteReply{
			Code: int32(s.chart.codeAfter(eventAnswerLost)), ChangeId: string(id),
			Message: fmt.Sprintf("the platform does not answer (%v); ask again with: show change %s", err, id),
		}
	}
	if !found {
		return &operatorpb.ExecuteReply{
			Code: int32(s.chart.codeAfter(eventMissing)), ChangeId: string(id),
			Message: fmt.Sprintf("change %s was not accepted, or longer ago than the last 1000 changes", id),
		}
	}
	s.control.ApplyChange(change)
	propagation := s.control.Propagation(change.Revision)
	reply := acceptedReply(change, s.chart.codeAfter(eventFound, eventSomeLag))
	if propagation.Lagging == 0 {
		reply.Code = int32(s.chart.codeAfter(eventFound, eventAllReported))
		reply.Message = fmt.Sprintf("change %s at revision %d is in force at all %d instances", id, change.Revision, propagation.Instances)
		return reply
	}
	reply.Message = fmt.Sprintf("change %s is accepted at revision %d, not yet in force at %d of %d instances: %v",
		id, change.Revision, propagation.Lagging, propagation.Instances, propagation.Names)
	return reply
}
