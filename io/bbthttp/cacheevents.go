package bbthttp

import (
	"context"

	"bluebelltray/core/bbtfleet"
)

// cacheRecord is the published form of a prefix that an engine holds.
type cacheRecord struct {
	Prefix string `json:"prefix"`
}

// ReadCachedPrefixes returns the prompt prefixes, as PrefixID names them, that a model
// engine says it holds.
func (r *LoadReader) ReadCachedPrefixes(ctx context.Context, ep bbtfleet.Endpoint) ([]uint64, error) {
	var records []cacheRecord
	if err := r.get(ctx, ep, "/cache-events", &records); err != nil {
		return nil, err
	}
	held := make([]uint64, 0, len(records))
	for _, rec := range records {
		held = append(held, PrefixID(rec.Prefix))
	}
	return held, nil
}
