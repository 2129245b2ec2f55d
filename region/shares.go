package region

import (
	"math"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"plantainwinch/coord/fleet"
)

// updateShareGauges sets the metrics of the teams' shares. While this entry is not planner, or no
// service is full, all teams have their shares.
func (n *Node) updateShareGauges(x fleet.ShareLoad) {
	metrics.GetOrRegisterGauge("Planner.Share.WorstPercent", n.Metrics).Update(int64(math.Round(100 * x.Worst)))
	metrics.GetOrRegisterGauge("Planner.Order.Full", n.Metrics).Update(int64(x.Full.Seconds()))
}

// shareFields returns the field of the line load about the teams' shares.
func shareFields(x fleet.ShareLoad) zap.Field {
	return zap.Dict("shares", zap.Bool("binding", x.Binding), zap.Duration("full", x.Full), zap.Duration("age", x.Age),
		zap.Int("above", x.Above), zap.Int("below", x.Below), zap.Float64("worst", x.Worst), zap.String("worstTeam", x.WorstTeam))
}
