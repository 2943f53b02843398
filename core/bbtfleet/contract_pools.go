package bbtfleet

import (
	"maps"
	"slices"
)

// RepeatablePools returns the pools whose calls may be repeated, in order of
// their names.
func (c Contract) RepeatablePools() []PoolID {
	return slices.Sorted(maps.Keys(c.repeatable))
}
