package testbed

import "time"

// endpointKey names an endpoint as one instance knows it.
type endpointKey struct{ instance, node int }

// noDrainNotice stands for a node that has sent no drain notice.
const noDrainNotice = -1

// endpointKnowledge is what an instance was notified of an endpoint.
type endpointKnowledge struct {
	drainingSince   int64 // when it was notified that the node drains or is gone; 0: it was not
	noticeStartedAt int64 // start of the incarnation that sent a drain notice, or noDrainNotice
}

// drainTracker follows what each instance was notified of each node, by the registry or by the node itself.
type drainTracker struct {
	known map[endpointKey]*endpointKnowledge
	nodes *nodeDirectory
}

// checkDrains judges that an instance sends nothing to a node later than the grace after it was notified
// that the node drains or is gone.
func (c *invariantChecker) checkDrains() {
	tracker := drainTracker{known: map[endpointKey]*endpointKnowledge{}, nodes: &c.nodes}
	for _, event := range c.events {
		if event.Kind != KindArrive {
			tracker.add(event)
			continue
		}
		c.verdicts[RuleDrains].Judged++
		known := tracker.known[endpointKey{event.Instance, event.Node}]
		if known == nil || known.drainingSince == 0 || known.isOutdatedBy(event.StartedAt) {
			continue
		}
		after := time.Duration(event.Time - known.drainingSince)
		over := after - c.site.Rules.DrainGrace - transitTime
		if over > 0 &&
			over > c.outages.allowance(event.Instance, event.Node, known.drainingSince, event.Time) {
			c.violation(RuleDrains, event, "sent %v after it was told that the node drains or is gone", after)
		}
	}
}

// isOutdatedBy tells whether an incarnation is later than the one that sent a drain notice.
func (k *endpointKnowledge) isOutdatedBy(startedAt int64) bool {
	return k.hasDrainNotice() && startedAt > k.noticeStartedAt
}

func (k *endpointKnowledge) hasDrainNotice() bool { return k.noticeStartedAt >= 0 }

func (t *drainTracker) of(instance, node int) *endpointKnowledge {
	key := endpointKey{instance, node}
	if t.known[key] == nil {
		t.known[key] = &endpointKnowledge{noticeStartedAt: noDrainNotice}
	}
	return t.known[key]
}

func (t *drainTracker) add(event Event) {
	switch event.Kind {
	case KindInstanceStarted: // a new incarnation knows nothing
		for key := range t.known {
			if key.instance == event.Instance {
				delete(t.known, key)
			}
		}
	case KindNotice:
		known := t.of(event.Instance, event.Node)
		known.noticeStartedAt = event.StartedAt
		if known.drainingSince == 0 {
			known.drainingSince = event.Time
		}
	case KindAcknowledged:
		t.acknowledged(event)
	}
}

// acknowledged takes in that an instance acknowledged an update. A ready status that is older than the
// node's own drain notice changes nothing.
func (t *drainTracker) acknowledged(event Event) {
	node := event.Node
	if event.Reason != "" {
		var ok bool
		if node, ok = t.nodes.byAddress[event.Reason]; !ok {
			return
		}
	}
	known := t.of(event.Instance, node)
	switch {
	case event.Status != "ready" && known.drainingSince == 0:
		known.drainingSince = event.Time
	case event.Status == "ready" &&
		(!known.hasDrainNotice() || known.isOutdatedBy(event.StartedAt)):
		known.drainingSince, known.noticeStartedAt = 0, noDrainNotice
	}
}

// checkCold judges that no cold node collapses.
func (c *invariantChecker) checkCold() {
	for _, event := range c.events {
		switch event.Kind {
		case KindArrive:
			warming := event.Time-event.StartedAt < int64(c.site.Rules.SlowStartPeriod)
			if event.StartedAt != 0 && warming {
				c.verdicts[RuleCold].Judged++
			}
		case KindCollapsed:
			c.violation(RuleCold, event, "the node fell over")
		}
	}
}
