package configsync

import (
	"context"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/journal"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// proposal is a change set that passes through the stages accept, append and
// install.
type proposal struct {
	change record.Change
	// maybeAppended is true if an earlier attempt may have appended the entry.
	maybeAppended bool
	entry         journal.Entry
	// applied is the revision of the change once it is in force, otherwise zero.
	applied id.Revision
}

// unknownIfAppended returns an Unknown error instead of err if the change may be
// in the journal.
func (p *proposal) unknownIfAppended(err error) error {
	if !p.maybeAppended {
		return err
	}
	return problem.New(problem.Unknown, problem.Detail{Field: "change",
		Remedy: "apply the same change again; it is applied at most once"})
}

// errRevisionTaken means that another change set has the next revision, so that
// the change must be checked again on top of it.
var errRevisionTaken = errors.New("another change set has the revision")

// applyStages returns the stages of Apply: accept, append and install.
func (s *Syncer) applyStages() pipe.Filter[*proposal, *proposal] {
	named := func(name string, f pipe.Func[*proposal, *proposal]) pipe.Filter[*proposal, *proposal] {
		return pipe.Instrument(s.config.Metrics, name, f)
	}
	return pipe.Then(named("configAccept", s.accept),
		pipe.Then(named("configAppend", s.append), named("configInstall", s.installProposal)))
}

// Apply checks a change set, appends it to the journal and puts it in force
// on this node. It returns the revision; for a change set that was applied
// before, it returns the earlier revision. The error is a record.ConflictError
// if a record has changed since its base revision, Unavailable if the change was
// certainly not accepted, and Unknown if it may have been accepted. After an
// Unknown error the same change can be applied again.
func (s *Syncer) Apply(ctx context.Context, change record.Change) (id.Revision, error) {
	if err := s.Ready(); err != nil {
		return 0, err
	}
	p := &proposal{change: change}
	for {
		_, err := s.stages.Process(ctx, p)
		if err == nil || !errors.Is(err, errRevisionTaken) {
			return p.applied, err
		}
		if err := s.readAll(ctx); err != nil {
			return 0, p.unknownIfAppended(err)
		}
	}
}

// accept checks the change against the set in force and builds the journal entry
// with the next revision.
func (s *Syncer) accept(_ context.Context, p *proposal) (*proposal, error) {
	set := s.Current()
	if revision, ok := set.RevisionOfChange(p.change.ID); ok {
		p.applied = revision
		return p, nil
	}
	next, err := set.Accept(p.change, set.Revision+1, s.config.Binder)
	if err != nil {
		return p, err
	}
	p.change.Copies = next.Copies
	data, err := p.change.Encode()
	p.entry = journal.Entry{Seq: next.Revision, Writer: s.config.Node, Batch: s.batch.Add(1), Items: [][]byte{data}}
	return p, err
}

// append writes the entry. While the result is unknown, it writes the same entry
// again until ctx ends. The journal stores the same entry at most once.
func (s *Syncer) append(ctx context.Context, p *proposal) (*proposal, error) {
	if p.applied != 0 {
		return p, nil
	}
	for {
		err := journal.AppendAt(ctx, s.config.Store, Prefix, p.entry)
		switch problem.KindOf(err) {
		case "":
			return p, nil
		case problem.Conflict:
			p.maybeAppended = false // the revision holds another entry
			return p, errRevisionTaken
		case problem.Unknown:
			p.maybeAppended = true
		case problem.Unavailable:
			if !p.maybeAppended {
				return p, err
			}
		default:
			return p, p.unknownIfAppended(err)
		}
		if timer.Sleep(ctx, s.config.Timer, timer.Jitter(minRetryPause/4)) != nil {
			return p, p.unknownIfAppended(err)
		}
	}
}

// installProposal installs the entry on this node.
func (s *Syncer) installProposal(_ context.Context, p *proposal) (*proposal, error) {
	if p.applied != 0 {
		return p, nil
	}
	if _, err := s.install(p.entry); err != nil {
		return p, err
	}
	p.applied = p.entry.Seq
	s.compact(p.entry.Seq)
	return p, nil
}

// compact starts a compaction in the background if seq is a multiple of
// EntriesPerSnapshot. Only the node that appended the entry calls it.
func (s *Syncer) compact(seq id.Seq) {
	if seq%EntriesPerSnapshot != 0 {
		return
	}
	set := s.Current()
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), compactTimeout)
		defer cancel()
		state, err := set.Encode()
		if err == nil {
			err = journal.Compact(ctx, s.config.Store, Prefix, state, set.Revision)
		}
		if err != nil {
			klog.ErrorS(err, "configuration snapshot not stored; the next snapshot will cover its entries", "revision", set.Revision)
		}
	})
}
