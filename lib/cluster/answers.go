package cluster

import (
	"context"

	"bronzewinch.dev/lib/answers"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/problem"
)

const fetchMethod = "fetchAnswer"

// Nodes finds the other entry nodes.
type Nodes interface {
	// Others returns the addresses of the other live entry nodes.
	Others() map[id.Node]string
}

type fetchRequest struct {
	Key id.Request
}

// Responses stores the responses of backend servers on this node, and fetches them
// from any node.
type Responses struct {
	router *Router
	nodes  Nodes
	store  *answers.Store
}

// NewResponses returns the Responses of this node, and registers the peer method
// with which other nodes fetch from its store.
func NewResponses(r *Router, s *peer.Server, nodes Nodes, store *answers.Store) *Responses {
	responses := &Responses{router: r, nodes: nodes, store: store}
	peer.Handle(s, fetchMethod, func(_ context.Context, q fetchRequest) (answers.Response, error) {
		return responses.local(q.Key)
	})
	return responses
}

// Keep stores a response on this node.
func (r *Responses) Keep(key id.Request, response answers.Response) {
	r.store.Put(key, response, r.router.Timer.Now())
}

// Fetch returns a stored response. If it is not on this node, Fetch calls the node
// that hint names. Without a hint, it calls all other live nodes in parallel and
// returns the first response. If the node of the hint is not live, the error is
// NotFound.
func (r *Responses) Fetch(ctx context.Context, key id.Request, hint id.Node) (answers.Response, error) {
	if response, err := r.local(key); err == nil {
		return response, nil
	}
	others := r.nodes.Others()
	if address, ok := others[hint]; ok {
		return r.fetchFrom(ctx, address, key)
	}
	if hint != "" {
		return answers.Response{}, r.notFound(key)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		response answers.Response
		err      error
	}
	results := make(chan result, len(others))
	for _, address := range others {
		go func() {
			response, err := r.fetchFrom(ctx, address, key)
			results <- result{response, err}
		}()
	}
	for range others {
		if fetched := <-results; fetched.err == nil {
			return fetched.response, nil
		}
	}
	return answers.Response{}, r.notFound(key)
}

func (r *Responses) fetchFrom(ctx context.Context, address string, key id.Request) (answers.Response, error) {
	return peer.Call[fetchRequest, answers.Response](ctx, r.router.Pool, address, fetchMethod, fetchRequest{key})
}

func (r *Responses) local(key id.Request) (answers.Response, error) {
	if response, ok := r.store.Get(key, r.router.Timer.Now()); ok {
		return response, nil
	}
	return answers.Response{}, r.notFound(key)
}

func (r *Responses) notFound(key id.Request) error {
	return problem.New(problem.NotFound, problem.Detail{Field: "answer", Value: string(key),
		Limit: r.store.Retention().String() + " after the request", Remedy: "fetch it within that time; responses on a replaced node are lost"})
}
