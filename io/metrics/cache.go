package metrics

// This file defines a bounded cache of tagged scopes.

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"
)

// Cache caches the scopes of tag sets, so that getting one costs no allocation in tally.
// Once it is full, further tag sets with the same tag names share one scope, whose tag
// values are "other". It is safe for concurrent use.
type Cache struct {
	root      tally.Scope
	maxScopes int

	mu     sync.RWMutex
	scopes map[string]tally.Scope
}

// NewCache returns an empty cache of at most maxScopes scopes, not counting the shared ones.
func NewCache(m *Metrics, maxScopes int) *Cache {
	return &Cache{root: m.scope, maxScopes: maxScopes, scopes: map[string]tally.Scope{}}
}

// Scope returns the scope of a tag set.
func (c *Cache) Scope(tags map[string]string) tally.Scope {
	k := key(tags)
	c.mu.RLock()
	s := c.scopes[k]
	c.mu.RUnlock()
	if s != nil {
		return s
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.scopes) >= c.maxScopes {
		tags = maps.Clone(tags)
		for n := range tags {
			tags[n] = other
		}
		k = key(tags)
	}
	if s = c.scopes[k]; s == nil {
		s = c.root.Tagged(tags)
		c.scopes[k] = s
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

// DurationBuckets returns the histogram buckets for durations.
func DurationBuckets() tally.DurationBuckets { return durationBuckets }
