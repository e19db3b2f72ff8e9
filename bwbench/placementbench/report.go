package placementbench

// row is the report of one policy at one load of one deployment, over all
// seeds. Times are in seconds.
type row struct {
	Deployment string               `json:"deployment"`
	Load       float64              `json:"load"`
	Policy     string               `json:"policy"`
	Seeds      int                  `json:"seeds"`
	Completion quantiles            `json:"completionSeconds"`
	BySize     map[string]quantiles `json:"completionSecondsBySize"`
	// Run is the run time of the finished jobs, a lower bound of their completion
	// time under any policy.
	Run           quantiles `json:"runSeconds"`
	Slowdown      quantiles `json:"slowdown"`
	LongestWait   float64   `json:"longestWaitSeconds"`
	Fragmentation float64   `json:"fragmentation"`
	// Free is the mean share of accelerators that are free.
	Free float64 `json:"free"`
	// Aged is the number of opportunistic jobs that waited longer than
	// placement.AgedAfter, and OverBound the number of those that waited longer
	// than the bound that outcome.addWait checks.
	Aged      int `json:"aged"`
	OverBound int `json:"overBound"`
	// LostWork is the work lost by preemption, as a share of the work done.
	LostWork   float64   `json:"lostWorkShare"`
	Evicted    int       `json:"evicted"`
	Reclaim    quantiles `json:"reclaimSeconds"`
	PassMillis quantiles `json:"passMillis"`
	MaxWaiting int       `json:"mostWaiting"`
	Unfinished int       `json:"unfinished"`
}

// summarize merges the outcomes of all seeds of each deployment, load and
// policy, in order of first occurrence.
func summarize(outs []*outcome) []row {
	type key struct {
		deployment string
		load       float64
		policy     string
	}
	groups := make(map[key][]*outcome)
	var order []key
	for _, o := range outs {
		k := key{o.trace.deployment.name, o.trace.load, o.policy}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], o)
	}
	rows := make([]row, len(order))
	for i, k := range order {
		rows[i] = merge(groups[k])
		rows[i].Deployment, rows[i].Load, rows[i].Policy = k.deployment, k.load, k.policy
	}
	return rows
}

func merge(outs []*outcome) row {
	r := row{Seeds: len(outs), BySize: make(map[string]quantiles)}
	bySize := make(map[string][]float64)
	var all, runs, slowdown, reclaim, pass []float64
	var lost, done, free, stranded, capacity float64
	for _, o := range outs {
		for size, v := range o.completion {
			bySize[size] = append(bySize[size], v...)
			all = append(all, v...)
		}
		runs = append(runs, o.runTimes...)
		slowdown = append(slowdown, o.slowdown...)
		reclaim = append(reclaim, o.reclaimWaits...)
		for _, t := range o.passTimes {
			pass = append(pass, t.Seconds()*1000)
		}
		r.LongestWait = max(r.LongestWait, o.longestWait)
		r.MaxWaiting = max(r.MaxWaiting, o.maxWaiting)
		r.Evicted += o.evicted
		r.Unfinished += o.unfinished
		lost += o.lostWork
		done += o.doneWork
		free += o.freeAccelerators
		stranded += o.stranded
		capacity += o.capacity
		r.Aged += o.aged
		r.OverBound += o.overBound
	}
	for size, v := range bySize {
		r.BySize[size] = quantilesOf(v)
	}
	r.Completion, r.Slowdown, r.Reclaim, r.PassMillis = quantilesOf(all), quantilesOf(slowdown), quantilesOf(reclaim), quantilesOf(pass)
	r.Run = quantilesOf(runs)
	r.LostWork = lost / max(done, 1)
	r.Fragmentation = stranded / max(free, 1)
	r.Free = free / max(capacity, 1)
	return r
}
