package command

import (
	"context"
	"fmt"
	"strings"

	"bronzewinch.dev/bronzewinch/client"
	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
)

// maxAuditSets bounds the configurations in memory. The records of a zone need
// them nearly in order.
const maxAuditSets = 16

// auditSet is the configuration at one revision. The set is nil when it is not
// known.
type auditSet struct {
	set     *record.Set
	binding *guarantee.Binding
}

// auditSets fetches configurations as the checks need them.
type auditSets struct {
	ctx     context.Context
	client  *client.Client
	current *record.Set
	kept    map[id.Revision]auditSet
	order   []id.Revision
	// binding is the last one made, for the records in bindingOf. Most changes
	// touch nothing that it depends on.
	binding   *guarantee.Binding
	bindingOf string
	err       error
}

// newAuditSets fetches the records in force.
func newAuditSets(ctx context.Context, cl *client.Client) (*auditSets, error) {
	// Nothing is decided before the first revision, and 0 would ask for the
	// present one.
	s := &auditSets{ctx: ctx, client: cl, kept: map[id.Revision]auditSet{0: {}}}
	now, err := s.fetch(0)
	if err != nil {
		return nil, err
	}
	s.current = now.set
	return s, nil
}

// At returns the set at a revision.
func (s *auditSets) At(revision id.Revision) (*record.Set, bool) {
	one := s.get(revision)
	return one.set, one.set != nil
}

// Lost reports whether the revision was in force and can't be had any more.
func (s *auditSets) Lost(revision id.Revision) bool {
	return revision > 0 && revision <= s.current.Revision
}

// Owed returns how many copies of each guaranteed shape a zone holds.
func (s *auditSets) Owed(revision id.Revision, zone id.Zone) map[record.GuaranteeKey]int {
	if b, ok := s.Binding(revision); ok {
		return b.CopyCounts(zone)
	}
	return nil
}

// Binding returns the binding of the guaranteed shapes at a revision.
func (s *auditSets) Binding(revision id.Revision) (*guarantee.Binding, bool) {
	one := s.get(revision)
	return one.binding, one.binding != nil
}

func (s *auditSets) get(revision id.Revision) auditSet {
	if one, ok := s.kept[revision]; ok || s.err != nil {
		return one
	}
	one, err := s.fetch(revision)
	if err != nil && !problem.Is(err, problem.NotFound) {
		s.err = err
	}
	if s.order = append(s.order, revision); len(s.order) > maxAuditSets {
		delete(s.kept, s.order[0])
		s.order = s.order[1:]
	}
	s.kept[revision] = one
	return one
}

func (s *auditSets) fetch(revision id.Revision) (auditSet, error) {
	answer, err := client.Get[operator.Records](s.ctx, s.client, fmt.Sprintf("/v1/records?revision=%d", revision))
	if err != nil {
		return auditSet{}, err
	}
	records, err := record.ParseFile(fmt.Sprint("revision ", answer.Revision), []byte(answer.Document))
	if err != nil {
		return auditSet{}, err
	}
	set := record.SetFromRecords(answer.Revision, records)
	set.Copies = answer.Copies
	var bindingOf strings.Builder
	for _, r := range answer.Records {
		switch kind, _, _ := strings.Cut(r.Record, "/"); record.Kind(kind) {
		case record.KindZone, record.KindGuarantee, record.KindPolicy:
			bindingOf.WriteString(r.Record + "\n" + r.Text + "\n")
		}
	}
	if s.binding == nil || s.bindingOf != bindingOf.String() {
		if s.binding, err = guarantee.BindSet(set); err != nil {
			return auditSet{}, err
		}
		s.bindingOf = bindingOf.String()
	}
	return auditSet{set, s.binding}, nil
}
