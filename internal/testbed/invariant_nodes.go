package testbed

import "time"

// endpointKey identifies an endpoint in the endpoint list of one instance.
type endpointKey struct{ instance, node int }

// noDrainNotice represents a node that has sent no drain notice.
const noDrainNotice = -1

// notifiedState is an endpoint's drain state, as far as an instance was notified of it.
type notifiedState struct {
	drainingSince   int64 // Unix nanoseconds of the first notification of a drain or removal; 0: none
	noticeStartedAt int64 // start of the incarnation that sent a drain notice, or noDrainNotice
}

// drainTracker tracks the drain notifications of each instance, from the registry and from the nodes.
type drainTracker struct {
	states map[endpointKey]*notifiedState
	nodes  *nodeDirectory
}

// checkDrains verifies that an instance sends nothing to a node after the grace period, which starts when the
// instance is notified that the node drains or was removed.
func (c *invariantChecker) checkDrains() {
	tracker := drainTracker{states: map[endpointKey]*notifiedState{}, nodes: &c.nodes}
	for _, event := range c.events {
		if event.Kind != KindArrive {
			tracker.add(event)
			continue
		}
		c.verdicts[RuleDrains].Checked++
		state := tracker.states[endpointKey{event.Instance, event.Node}]
		if state == nil || state.drainingSince == 0 || state.isOutdatedBy(event.StartedAt) {
			continue
		}
		after := time.Duration(event.Time - state.drainingSince)
		excess := after - c.site.Rules.DrainGrace - maxTransitTime
		if excess > 0 &&
			excess > c.outages.allowance(event.Instance, event.Node, state.drainingSince, event.Time) {
			c.recordViolation(RuleDrains, event,
				"sent %v after notification that the node drains or was removed", after)
		}
	}
}

// isOutdatedBy reports whether an incarnation started later than the one that sent a drain notice.
func (s *notifiedState) isOutdatedBy(startedAt int64) bool {
	return s.hasDrainNotice() && startedAt > s.noticeStartedAt
}

func (s *notifiedState) hasDrainNotice() bool { return s.noticeStartedAt >= 0 }

func (t *drainTracker) stateOf(instance, node int) *notifiedState {
	key := endpointKey{instance, node}
	if t.states[key] == nil {
		t.states[key] = &notifiedState{noticeStartedAt: noDrainNotice}
	}
	return t.states[key]
}

func (t *drainTracker) add(event Event) {
	switch event.Kind {
	case KindInstanceStarted: // a new incarnation has received no notifications
		for key := range t.states {
			if key.instance == event.Instance {
				delete(t.states, key)
			}
		}
	case KindNotice:
		state := t.stateOf(event.Instance, event.Node)
		state.noticeStartedAt = event.StartedAt
		if state.drainingSince == 0 {
			state.drainingSince = event.Time
		}
	case KindAcknowledged:
		t.addAcknowledged(event)
	}
}

// addAcknowledged records that an instance acknowledged an update. A ready status of the incarnation that
// sent a drain notice, or of an earlier one, changes nothing.
func (t *drainTracker) addAcknowledged(event Event) {
	node := event.Node
	if event.Reason != "" { // the node's address; see nodeDirectory.byAddress
		var ok bool
		if node, ok = t.nodes.byAddress[event.Reason]; !ok {
			return
		}
	}
	state := t.stateOf(event.Instance, node)
	switch {
	case event.Status != "ready" && state.drainingSince == 0:
		state.drainingSince = event.Time
	case event.Status == "ready" &&
		(!state.hasDrainNotice() || state.isOutdatedBy(event.StartedAt)):
		state.drainingSince, state.noticeStartedAt = 0, noDrainNotice
	}
}

// checkCold verifies that no cold node collapses.
func (c *invariantChecker) checkCold() {
	for _, event := range c.events {
		switch event.Kind {
		case KindArrive:
			warming := event.Time-event.StartedAt < int64(c.site.Rules.SlowStartPeriod)
			if event.StartedAt != 0 && warming {
				c.verdicts[RuleCold].Checked++
			}
		case KindCollapsed:
			c.recordViolation(RuleCold, event, "the cold node collapsed")
		}
	}
}
