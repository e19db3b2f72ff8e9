package command

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/problem"
)

// workerFilter selects, orders and pages the workers that are listed. A large fleet has
// hundreds of them.
type workerFilter struct {
	rack  string
	state string
	order string
	after string
	limit int
}

// workerOrders compare workers by the names of the orders in which they can be listed.
var workerOrders = map[string]func(a, b operator.Worker) int{
	"name":  func(a, b operator.Worker) int { return cmp.Compare(a.Name, b.Name) },
	"rack":  func(a, b operator.Worker) int { return cmp.Compare(a.Rack, b.Rack) },
	"state": func(a, b operator.Worker) int { return cmp.Compare(a.State, b.State) },
	"jobs":  func(a, b operator.Worker) int { return -cmp.Compare(len(a.Jobs), len(b.Jobs)) },
	"free":  func(a, b operator.Worker) int { return -cmp.Compare(a.Free.Accelerators, b.Free.Accelerators) },
}

func (f workerFilter) check() error {
	if _, ok := workerOrders[f.order]; !ok {
		return problem.New(problem.Invalid, problem.Detail{Field: "-sort", Value: f.order,
			Limit: strings.Join(slices.Sorted(maps.Keys(workerOrders)), ", "), Remedy: "choose one of these orders"})
	}
	if f.limit < 0 {
		return problem.New(problem.Invalid, problem.Detail{Field: "-limit", Value: fmt.Sprint(f.limit), Limit: "0 or more",
			Remedy: "give the number of workers to list, or 0 for all"})
	}
	return nil
}

// apply returns a page of the selected workers, and how many follow it. Workers that are
// equal in the order are listed by name.
func (f workerFilter) apply(all []operator.Worker) (page []operator.Worker, further int, err error) {
	page = slices.DeleteFunc(slices.Clone(all), func(w operator.Worker) bool {
		return f.rack != "" && string(w.Rack) != f.rack || f.state != "" && string(w.State) != f.state
	})
	slices.SortFunc(page, func(a, b operator.Worker) int {
		return cmp.Or(workerOrders[f.order](a, b), cmp.Compare(a.Name, b.Name))
	})
	if f.after != "" {
		i := slices.IndexFunc(page, func(w operator.Worker) bool { return w.Name == id.Worker(f.after) })
		if i < 0 {
			return nil, 0, problem.New(problem.NotFound, problem.Detail{Field: "-after", Value: f.after,
				Remedy: "give the last worker of the previous page, with the same filters"})
		}
		page = page[i+1:]
	}
	if f.limit > 0 && len(page) > f.limit {
		page, further = page[:f.limit], len(page)-f.limit
	}
	return page, further, nil
}
