package metrics

// This file defines scopes with tags that are kept, up to a bound.

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"
)

// Cache keeps the scopes of sets of tags, so that taking one costs no allocation in tally.
// Beyond its bound all further sets share one scope whose values are "other". It is safe
// for concurrent use.
type Cache struct {
	root tally.Scope
	most int

	mu  sync.RWMutex
	all map[string]tally.Scope
}

// NewCache returns an empty cache of at most that many scopes.
func NewCache(m *Metrics, most int) *Cache {
	return &Cache{root: m.scope, most: most, all: map[string]tally.Scope{}}
}

// Scope returns the scope of a set of tags.
func (c *Cache) Scope(tags map[string]string) tally.Scope {
	k := key(tags)
	c.mu.RLock()
	s := c.all[k]
	c.mu.RUnlock()
	if s != nil {
		return s
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.all) >= c.most {
		tags = maps.Clone(tags)
		for n := range tags {
			tags[n] = other
		}
		k = key(tags)
	}
	if s = c.all[k]; s == nil {
		s = c.root.Tagged(tags)
		c.all[k] = s
	}
	return s
}

func key(tags map[string]string) string {
	var b strings.Builder
	for _, n := range slices.Sorted(maps.Keys(tags)) {
		b.WriteString(n + "=" + tags[n] + ";")
	}
	return b.String()
}

// Spans returns the buckets of durations.
func Spans() tally.DurationBuckets { return spans }
