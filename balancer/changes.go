package main

import (
	"context"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
)

// KnownRevision implements etcd.ChangeHandler.
func (c *controller) KnownRevision() (bramleyfall.Revision, bramleyfall.ChangeID) {
	var revision bramleyfall.Revision
	var id bramleyfall.ChangeID
	_ = c.runTask(context.Background(), func() {
		revision, id = c.node.State().Revision(), lastChangeID(c.node.State())
	})
	return revision, id
}

// lastChangeID returns the ID of the change at the revision of s, or "" if it is unknown.
func lastChangeID(s *configuration.State) bramleyfall.ChangeID {
	changes, ok := s.ChangesAfter(s.Revision() - min(s.Revision(), 1))
	if !ok || len(changes) == 0 {
		return ""
	}
	return changes[len(changes)-1].ID
}

// ChangesAfter implements etcd.ChangeHandler.
func (c *controller) ChangesAfter(revision bramleyfall.Revision) ([]bramleyfall.Change, bool) {
	var changes []bramleyfall.Change
	var ok bool
	_ = c.runTask(context.Background(), func() { changes, ok = c.node.State().ChangesAfter(revision) })
	return changes, ok
}

// ChangesRewritten implements etcd.ChangeHandler.
func (c *controller) ChangesRewritten(changes []bramleyfall.Change) {
	c.telemetry.Log.Warn().Str("Event", "ChangesRewritten").Int("Changes", len(changes)).
		Uint64("Revision", uint64(changes[len(changes)-1].Revision)).Msg("")
}

// HandleChanges implements etcd.ChangeHandler.
func (c *controller) HandleChanges(changes []bramleyfall.Change, full bool, revision bramleyfall.Revision) {
	_ = c.runTask(context.Background(), func() {
		if full {
			c.node.ApplySnapshot(changes, revision)
			return
		}
		for _, change := range changes {
			c.apply(change, "Platform")
		}
	})
}

func (c *controller) apply(change bramleyfall.Change, source string) {
	previous := c.node.State().Revision()
	err := c.node.ApplyChange(change)
	if err != nil {
		c.telemetry.Log.Error().Str("Event", "BadChange").Str("Change", string(change.ID)).Str("Reason", err.Error()).Msg("")
		return
	}
	if c.node.State().Revision() != previous {
		c.telemetry.Log.Info().Str("Event", "Change").Str("Change", string(change.ID)).Str("Key", change.Key).
			Uint64("Revision", uint64(change.Revision)).Str("Source", source).Msg("")
	}
}

// RecordMalformed implements etcd.ChangeHandler.
func (c *controller) RecordMalformed(err error) {
	c.telemetry.Log.Warn().Str("Event", "Malformed").Str("Reason", err.Error()).Msg("")
}

// SetPlatformError implements etcd.ChangeHandler.
func (c *controller) SetPlatformError(err error) {
	_ = c.runTask(context.Background(), func() {
		if err != nil {
			c.telemetry.Log.Error().Str("Event", "Platform").Str("Code", bramleyfall.CodeOf(err).String()).Str("Reason", err.Error()).Msg("")
		} else if c.platformErr != nil {
			c.telemetry.Log.Info().Str("Event", "Platform").Str("Code", bramleyfall.OK.String()).Msg("")
		}
		c.platformErr = err
	})
}
