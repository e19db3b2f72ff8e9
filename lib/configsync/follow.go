package configsync

import (
	"context"
	"strings"

	"bronzewinch.dev/lib/journal"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"

	"k8s.io/klog/v2"
)

// follow reads the journal and then watches it, until ctx ends.
func (s *Syncer) follow(ctx context.Context) {
	failing := false
	pause := minRetryPause
	for ctx.Err() == nil {
		err := s.readAll(ctx)
		if err == nil {
			failing = false
			pause = minRetryPause
			err = s.watch(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil && !failing {
			failing = true
			klog.ErrorS(err, "configuration journal not readable; peers are asked until it is", "node", s.config.Node)
		}
		_ = timer.Sleep(ctx, s.config.Timer, timer.Jitter(pause))
		pause = min(2*pause, maxRetryPause)
	}
}

// readAll puts the journal's newest state in force.
func (s *Syncer) readAll(ctx context.Context) error {
	snapshot, covered, entries, err := journal.ReadWithSeq(ctx, s.config.Store, Prefix)
	if err != nil {
		return err
	}
	if covered > s.Current().Revision {
		set, err := record.DecodeSet(snapshot)
		if err != nil {
			return err
		}
		s.installSet(set)
	}
	for _, e := range entries {
		if _, err := s.install(e); err != nil {
			return err
		}
	}
	if s.Ready() != nil { // an empty journal is a configuration too
		s.installSet(record.NewSet())
	}
	return nil
}

// watch applies entries as they come. It returns when entries are missing or
// the watch fails; the caller reads everything again.
func (s *Syncer) watch(ctx context.Context) error {
	var from kv.Version
	for {
		events, next, err := s.config.Store.Watch(ctx, journal.LogPrefix(Prefix), from)
		if err != nil {
			return err
		}
		from = next
		for _, ev := range events {
			if ev.Deleted || !strings.HasPrefix(ev.Key, journal.LogPrefix(Prefix)) {
				continue
			}
			e, err := s.decode.Process(ctx, ev.Item)
			if err != nil {
				return err
			}
			if gap, err := s.install(e); gap || err != nil {
				return err
			}
		}
	}
}

// pollPeers catches up from peers that have a higher revision than this node.
func (s *Syncer) pollPeers(ctx context.Context) {
	tick := s.config.Timer.Every(PeerPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, address := range s.config.Peers.Ahead(s.Current().Revision) {
			if err := s.catchUp(ctx, address); err == nil {
				break
			}
		}
	}
}

// catchUp applies what the peer at an address has beyond this node.
func (s *Syncer) catchUp(ctx context.Context, address string) error {
	u, err := s.config.Peers.Since(ctx, address, s.Current().Revision)
	if err != nil {
		return err
	}
	if len(u.Snapshot) > 0 {
		set, err := record.DecodeSet(u.Snapshot)
		if err != nil {
			return err
		}
		s.installSet(set)
	}
	for _, e := range u.Entries {
		if _, err := s.install(e); err != nil {
			return err
		}
	}
	return nil
}
