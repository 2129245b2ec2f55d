package region

import (
	"slices"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// The outcomes of a keeper's report of the runs that it knew at a worker in the session of an earlier planner.
const (
	earlierApplied = "applied"
	earlierUnnamed = "another keeper is recorded" // earlierUnnamed stands for a report that may be incomplete.
	earlierKnown   = "known before"
)

// earlierReports holds the workers of such reports by outcome.
type earlierReports map[string][]string

func (r earlierReports) add(outcome string, e proto.KeeperEvent) {
	r[outcome] = append(r[outcome], e.Worker)
}

// handleKnown handles the runs that a keeper knew at a worker when this planner's session began, and returns the
// outcome. If the earlier planner's roster names the keeper with the same generation, those are all that may run
// there; otherwise the report is incomplete and is dropped.
func (l *leadership) handleKnown(keeper string, e proto.KeeperEvent) string {
	w := l.previousRoster[e.Worker]
	if w.Keeper != keeper || w.Generation != e.Turn {
		return earlierUnnamed
	}
	if l.planner.RunsKnown(e.Worker) {
		return earlierKnown
	}
	vm, listed := l.planner.WorkerVM(e.Worker)
	replaced := listed && !vm.SameBoot(w.VM)
	if replaced {
		// The others have ended with the boot that the keeper knew.
		e.Running = slices.DeleteFunc(slices.Clone(e.Running), func(r winch.Running) bool { return !r.Unlisted() })
	}
	l.planner.HandleEvent(e)
	if replaced {
		l.expectLateStarts(e.Worker, 0)
	}
	return earlierApplied
}

// logEarlierReports logs and counts the reports of a keeper by outcome.
func (l *leadership) logEarlierReports(keeper string, reports earlierReports) {
	for outcome, workers := range reports {
		l.node.Log.Info("keeper reported earlier runs", zap.String("keeper", keeper), zap.String("outcome", outcome),
			zap.Int("count", len(workers)), zap.Strings("workers", workers[:min(maxEarlierWorkers, len(workers))]))
		if outcome == earlierKnown {
			metrics.GetOrRegisterCounter("Planner.EarlierReports.Known", l.node.Metrics).Inc(int64(len(workers)))
		}
	}
}
