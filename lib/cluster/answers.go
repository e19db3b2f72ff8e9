package cluster

import (
	"context"

	"bronzewinch.dev/lib/answers"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/problem"
)

const fetchMethod = "fetchAnswer"

// Nodes gives the addresses of the other live entry nodes.
type Nodes interface {
	Others() map[id.Node]string
}

type fetchRequest struct {
	Key id.Request
}

// Responses keeps answers on this node and fetches them from any node.
type Responses struct {
	router *Router
	nodes  Nodes
	store  *answers.Store
}

// NewResponses registers the call that fetches an answer.
func NewResponses(r *Router, s *peer.Server, nodes Nodes, store *answers.Store) *Responses {
	a := &Responses{router: r, nodes: nodes, store: store}
	peer.Handle(s, fetchMethod, func(_ context.Context, q fetchRequest) (answers.Response, error) {
		return a.here(q.Key)
	})
	return a
}

// Keep keeps an answer on this node.
func (a *Responses) Keep(key id.Request, answer answers.Response) {
	a.store.Put(key, answer, a.router.Timer.Now())
}

// Fetch returns a kept answer. It asks the node of the hint, or else all live
// nodes at once, and takes the first answer.
func (a *Responses) Fetch(ctx context.Context, key id.Request, hint id.Node) (answers.Response, error) {
	if answer, err := a.here(key); err == nil {
		return answer, nil
	}
	others := a.nodes.Others()
	if address, ok := others[hint]; ok {
		return a.from(ctx, address, key)
	}
	if hint != "" {
		return answers.Response{}, a.notKept(key)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		answer answers.Response
		err    error
	}
	results := make(chan result, len(others))
	for _, address := range others {
		go func() {
			answer, err := a.from(ctx, address, key)
			results <- result{answer, err}
		}()
	}
	for range others {
		if r := <-results; r.err == nil {
			return r.answer, nil
		}
	}
	return answers.Response{}, a.notKept(key)
}

func (a *Responses) from(ctx context.Context, address string, key id.Request) (answers.Response, error) {
	return peer.Call[fetchRequest, answers.Response](ctx, a.router.Pool, address, fetchMethod, fetchRequest{key})
}

func (a *Responses) here(key id.Request) (answers.Response, error) {
	if answer, ok := a.store.Get(key, a.router.Timer.Now()); ok {
		return answer, nil
	}
	return answers.Response{}, a.notKept(key)
}

func (a *Responses) notKept(key id.Request) error {
	return problem.New(problem.NotFound, problem.Detail{Field: "answer", Value: string(key),
		Limit: a.store.Retention().String() + " after the request", Remedy: "ask within that time; a replaced node loses its answers"})
}
