package burnstore

import (
	"fmt"
	"sync"
	"time"

	"bronzewinch.dev/lib/burn"

	"github.com/VictoriaMetrics/metrics"
)

// gauges sets the metrics of the objectives. The labels contain the names of the
// objectives, so metrics are registered and removed as the configuration
// changes.
type gauges struct {
	metrics    *metrics.Set
	mu         sync.Mutex
	registered map[string]bool
}

func newGauges(set *metrics.Set) *gauges {
	return &gauges{metrics: set, registered: make(map[string]bool)}
}

func (g *gauges) set(r burn.Report, now time.Time) {
	values := map[string]float64{"bronzewinch_burn_evaluated_seconds": float64(now.Unix())}
	for _, o := range r.Objectives {
		for _, w := range o.Windows {
			values[fmt.Sprintf("bronzewinch_burn_rate{objective=%q,window=%q}", o.Name, w.Window)] = float64(w.Rate)
		}
		values[fmt.Sprintf("bronzewinch_burn_budget_left{objective=%q}", o.Name)] = o.BudgetLeft
		for _, a := range o.Alerts {
			firing := 0.0
			if a.Firing {
				firing = 1
			}
			values[fmt.Sprintf("bronzewinch_burn_alert{objective=%q,alert=%q}", o.Name, a.Name)] = firing
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for name := range g.registered {
		if _, ok := values[name]; !ok {
			g.metrics.UnregisterMetric(name)
			delete(g.registered, name)
		}
	}
	for name, v := range values {
		g.metrics.GetOrCreateGauge(name, nil).Set(v)
		g.registered[name] = true
	}
}
