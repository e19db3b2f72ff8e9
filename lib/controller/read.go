package controller

import (
	"context"
	"strings"
	"time"

	"bronzewinch.dev/lib/election"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"
)

const (
	// readTimeout bounds one read of the store. A page of 1 MB takes 6 s over a link of
	// 2 Mbit/s. The client of the store gives up much earlier on one that sends nothing.
	readTimeout = 10 * time.Second
	// maxReadOutage is how long reads of the stored state are repeated. After that the
	// owner can't extend leases any more, and another node may be able to read.
	maxReadOutage = election.OutageGrace
)

// boundedRead calls read with readTimeout. An owner whose read never ends would keep its
// lease without serving.
func boundedRead[T any](ctx context.Context, read func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return read(ctx)
}

// readStored calls read until it succeeds. It returns an error if the store rejects the
// read, has not answered for maxReadOutage, or ctx ends.
func readStored[T any](ctx context.Context, s *session, read func(context.Context) (T, error)) (T, error) {
	clock := s.controller.config.Timer
	start, pause := clock.Now(), minCommitRetryPause
	for {
		v, err := boundedRead(ctx, read)
		switch {
		case ctx.Err() != nil:
			return v, context.Cause(ctx)
		case err == nil:
			s.controller.storeHealth.Observe(nil)
			return v, nil
		case !isOutage(err):
			return v, err
		}
		s.controller.storeHealth.Observe(err)
		s.term.StoreFailed()
		if clock.Now().Sub(start) > maxReadOutage {
			return v, errors.Wrapf(err, "not read within %v", maxReadOutage)
		}
		if timer.Sleep(ctx, clock, timer.Jitter(pause)) != nil {
			return v, context.Cause(ctx)
		}
		pause = min(2*pause, maxCommitRetryPause)
	}
}

// isOutage reports whether a read failed because the store did not answer it or was
// overloaded, so that a later attempt can succeed.
func isOutage(err error) bool {
	switch problem.KindOf(err) {
	case problem.Unknown, problem.Unavailable, problem.Overloaded:
		return true
	}
	return false
}

const pageSize = 500

// readAll reads all records under a prefix. It logs and skips records that
// can't be decoded.
func readAll[T any](ctx context.Context, s *session, prefix string) ([]T, error) {
	return readPages[T](prefix, newPager[T](ctx, s, prefix).read)
}

// readPages reads the pages that follow each other until one is empty, and decodes their
// records.
func readPages[T any](prefix string, read func(after string) ([]kv.Item, error)) ([]T, error) {
	var all []T
	pager := pager[T]{prefix: prefix, read: read}
	for {
		v, ok, err := pager.next()
		if err != nil {
			return nil, err
		}
		if !ok {
			return all, nil
		}
		all = append(all, v)
	}
}

// partObserver learns of the parts that a pager finds.
type partObserver interface {
	restored(key string, h kv.Head)
	foundStale(key string)
}

// pager reads the records under a prefix in the order of their keys, and joins those that are
// stored in parts. It keeps one page.
type pager[T any] struct {
	prefix string
	read   func(after string) ([]kv.Item, error)
	parts  partObserver // may be nil
	page   []kv.Item
	after  string
	// skipped counts the records that could not be decoded.
	skipped int
}

func newPager[T any](ctx context.Context, s *session, prefix string) *pager[T] {
	return &pager[T]{prefix: prefix, parts: s.divider, read: func(after string) ([]kv.Item, error) {
		return readStored(ctx, s, func(ctx context.Context) ([]kv.Item, error) {
			return s.controller.config.Store.List(ctx, prefix, after, pageSize)
		})
	}}
}

// next returns the next record, or false if there is none. It logs and skips records that
// can't be decoded.
func (p *pager[T]) next() (v T, ok bool, err error) {
	for {
		item, ok, err := p.peek()
		if err != nil || !ok {
			return v, false, err
		}
		p.advance()
		if kv.IsPartKey(item.Key) {
			p.noteStale(item.Key)
			continue
		}
		if item.Value, err = p.join(item); err != nil {
			return v, false, err
		}
		var record T
		if err := cbor.Unmarshal(item.Value, &record); err != nil {
			klog.ErrorS(err, "stored record skipped; it can't be decoded", "event", "load", "key", item.Key)
			p.skipped++
			continue
		}
		return record, true, nil
	}
}

// peek returns the next item, or false if there is none.
func (p *pager[T]) peek() (item kv.Item, ok bool, err error) {
	if len(p.page) == 0 {
		if p.page, err = p.read(p.after); err != nil {
			return item, false, errors.Wrapf(err, "read %s", p.prefix)
		}
		if len(p.page) == 0 {
			return item, false, nil
		}
	}
	return p.page[0], true, nil
}

// advance passes the item that peek returned.
func (p *pager[T]) advance() {
	p.after = p.page[0].Key
	p.page[0] = kv.Item{} // its value is not needed any more
	p.page = p.page[1:]
}

// join returns the value of a record. The parts of a divided one follow it.
func (p *pager[T]) join(record kv.Item) ([]byte, error) {
	head, ok := kv.DecodeHead(record.Value)
	if !ok {
		return record.Value, nil
	}
	var value []byte
	for next := 0; next < head.Parts; {
		item, ok, err := p.peek()
		if err != nil {
			return nil, err
		}
		if !ok || !strings.HasPrefix(item.Key, record.Key) || !kv.IsPartKey(item.Key) {
			return nil, nil // a part is missing; the record can't be decoded
		}
		p.advance()
		if item.Key != head.PartKey(record.Key, next) {
			p.noteStale(item.Key)
			continue
		}
		value, next = append(value, item.Value...), next+1
	}
	if p.parts != nil {
		p.parts.restored(record.Key, head)
	}
	return value, nil
}

func (p *pager[T]) noteStale(key string) {
	if p.parts != nil {
		p.parts.foundStale(key)
	}
}

// LateStartReader reads the records of workers that may carry out a start late.
type LateStartReader struct {
	Store interface {
		List(ctx context.Context, prefix, after string, limit int) ([]kv.Item, error)
	}
}

// ReadLateStarts returns the records in the order of their workers.
func (r LateStartReader) ReadLateStarts(ctx context.Context) ([]task.LateStart, error) {
	return readPages[task.LateStart](lateStartPrefix, func(after string) ([]kv.Item, error) {
		return r.Store.List(ctx, lateStartPrefix, after, pageSize)
	})
}
