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

// follow reads the journal and then watches it. After an error it starts again
// with a pause that doubles up to maxRetryPause. It returns when ctx ends.
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
			klog.ErrorS(err, "configuration journal not readable; updating from peers until it is", "node", s.config.Node)
		}
		_ = timer.Sleep(ctx, s.config.Timer, timer.Jitter(pause))
		pause = min(2*pause, maxRetryPause)
	}
}

// readAll reads the whole journal and puts its newest state in force.
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
	if s.Ready() != nil { // an empty journal is an empty configuration
		s.installSet(record.NewSet())
	}
	return nil
}

// watch applies new entries as they are written. It returns if entries are
// missing or the watch fails; the caller then reads the whole journal again.
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

// pollPeers regularly applies the updates of peers with a higher revision than
// this node.
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

// catchUp applies the revisions that the peer at address has and this node lacks.
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
