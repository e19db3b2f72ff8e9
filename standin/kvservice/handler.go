package kvservice

import (
	"context"
	"encoding/json"
	"net/http"

	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
)

// maxBodyBytes is enough for a value of 1 MiB in base64 with its key.
const maxBodyBytes = 2 << 20

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	serve(mux, s, kv.OpGet, func(ctx context.Context, c *LocalClient, r kv.KeyRequest) (kv.Item, error) {
		return c.Get(ctx, r.Key)
	})
	serve(mux, s, kv.OpPut, func(ctx context.Context, c *LocalClient, r kv.PutRequest) (kv.VersionReply, error) {
		v, err := c.Put(ctx, r.Key, r.Value, r.Expect, r.Lease)
		return kv.VersionReply{Version: v}, err
	})
	serve(mux, s, kv.OpDelete, func(ctx context.Context, c *LocalClient, r kv.KeyRequest) (kv.EmptyReply, error) {
		return kv.EmptyReply{}, c.Delete(ctx, r.Key, r.Expect)
	})
	serve(mux, s, kv.OpList, func(ctx context.Context, c *LocalClient, r kv.ListRequest) (kv.ListReply, error) {
		items, err := c.List(ctx, r.Prefix, r.After, r.Limit)
		return kv.ListReply{Items: items}, err
	})
	serve(mux, s, kv.OpWatch, func(ctx context.Context, c *LocalClient, r kv.WatchRequest) (kv.WatchReply, error) {
		return c.watch(ctx, r)
	})
	serve(mux, s, kv.OpGrant, func(ctx context.Context, c *LocalClient, r kv.LeaseRequest) (kv.LeaseReply, error) {
		id, err := c.Grant(ctx, r.TTL())
		return kv.LeaseReply{ID: id}, err
	})
	serve(mux, s, kv.OpKeepAlive, func(ctx context.Context, c *LocalClient, r kv.LeaseRequest) (kv.EmptyReply, error) {
		return kv.EmptyReply{}, c.KeepAlive(ctx, r.ID)
	})
	serve(mux, s, kv.OpRevoke, func(ctx context.Context, c *LocalClient, r kv.LeaseRequest) (kv.EmptyReply, error) {
		return kv.EmptyReply{}, c.Revoke(ctx, r.ID)
	})
	return mux
}

func serve[Req, Resp any](mux *http.ServeMux, s *Service, op kv.Op,
	f func(context.Context, *LocalClient, Req) (Resp, error)) {
	mux.HandleFunc("POST /v1/"+string(op), func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
			reply(w, http.StatusBadRequest, problem.As(problem.New(problem.Invalid, problem.Detail{
				Field: "body", Remedy: "send the request as JSON: " + err.Error()})))
			return
		}
		resp, err := f(r.Context(), s.LocalClient(r.Header.Get(kv.ClientHeader)), req)
		if err != nil {
			fail(w, err)
			return
		}
		reply(w, http.StatusOK, resp)
	})
}

// fail replies with an error. If the result is unknown, it closes the connection
// without a reply, as a lost reply looks to the client.
func fail(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch problem.KindOf(err) {
	case problem.Unknown:
		panic(http.ErrAbortHandler)
	case problem.NotFound:
		status = http.StatusNotFound
	case problem.Conflict:
		status = http.StatusConflict
	case problem.Invalid:
		status = http.StatusBadRequest
	case problem.Expired:
		status = http.StatusGone
	case problem.Unavailable:
		status = http.StatusServiceUnavailable
	}
	reply(w, status, problem.As(err))
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client treats a reply that could not be written as lost.
	_ = json.NewEncoder(w).Encode(body)
}
