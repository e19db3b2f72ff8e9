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

// maxCachedConfigs bounds the configurations in memory. Few are enough, since the
// records of a zone refer to revisions in nearly ascending order.
const maxCachedConfigs = 16

// cachedConfig is the configuration at one revision. The set is nil when it is
// not known.
type cachedConfig struct {
	set     *record.Set
	binding *guarantee.Binding
}

// configCache fetches configurations when the audit or the replay needs them, and
// caches them.
type configCache struct {
	ctx     context.Context
	client  *client.Client
	current *record.Set
	configs map[id.Revision]cachedConfig
	// order lists the fetched revisions in configs, the first fetched one first.
	order []id.Revision
	// binding is the last one computed, for the records whose text is in
	// bindingRecords. It is reused while these stay the same, since most changes
	// touch none of them.
	binding        *guarantee.Binding
	bindingRecords string
	err            error
}

// newConfigCache returns a cache with the records in force as the current set.
func newConfigCache(ctx context.Context, cl *client.Client) (*configCache, error) {
	// Revision 0 is entered as unknown: nothing is decided before the first
	// revision, and a request for revision 0 would return the current one.
	c := &configCache{ctx: ctx, client: cl, configs: map[id.Revision]cachedConfig{0: {}}}
	current, err := c.fetch(0)
	if err != nil {
		return nil, err
	}
	c.current = current.set
	return c, nil
}

// At returns the set at a revision.
func (c *configCache) At(revision id.Revision) (*record.Set, bool) {
	config := c.get(revision)
	return config.set, config.set != nil
}

// Discarded reports whether the revision was in force but is no longer available.
func (c *configCache) Discarded(revision id.Revision) bool {
	return revision > 0 && revision <= c.current.Revision
}

// CopyCounts returns how many copies of each guaranteed shape are bound in a zone.
func (c *configCache) CopyCounts(revision id.Revision, zone id.Zone) map[record.GuaranteeKey]int {
	if b, ok := c.Binding(revision); ok {
		return b.CopyCounts(zone)
	}
	return nil
}

// Binding returns the binding of the guaranteed shapes at a revision.
func (c *configCache) Binding(revision id.Revision) (*guarantee.Binding, bool) {
	config := c.get(revision)
	return config.binding, config.binding != nil
}

func (c *configCache) get(revision id.Revision) cachedConfig {
	if config, ok := c.configs[revision]; ok || c.err != nil {
		return config
	}
	config, err := c.fetch(revision)
	if err != nil && !problem.Is(err, problem.NotFound) {
		c.err = err
	}
	if c.order = append(c.order, revision); len(c.order) > maxCachedConfigs {
		delete(c.configs, c.order[0])
		c.order = c.order[1:]
	}
	c.configs[revision] = config
	return config
}

func (c *configCache) fetch(revision id.Revision) (cachedConfig, error) {
	response, err := client.Get[operator.Records](c.ctx, c.client, fmt.Sprintf("/v1/records?revision=%d", revision))
	if err != nil {
		return cachedConfig{}, err
	}
	records, err := record.ParseFile(fmt.Sprint("revision ", response.Revision), []byte(response.Document))
	if err != nil {
		return cachedConfig{}, err
	}
	set := record.SetFromRecords(response.Revision, records)
	set.Copies = response.Copies
	var bindingRecords strings.Builder
	for _, r := range response.Records {
		switch kind, _, _ := strings.Cut(r.Record, "/"); record.Kind(kind) {
		case record.KindZone, record.KindGuarantee, record.KindPolicy:
			bindingRecords.WriteString(r.Record + "\n" + r.Text + "\n")
		}
	}
	if c.binding == nil || c.bindingRecords != bindingRecords.String() {
		if c.binding, err = guarantee.BindSet(set); err != nil {
			return cachedConfig{}, err
		}
		c.bindingRecords = bindingRecords.String()
	}
	return cachedConfig{set, c.binding}, nil
}
