package bbthttp

import (
	"context"

	"bluebelltray/core/bbtfleet"
)

// cachedPrefix is the JSON form of a prompt prefix in an engine's cache.
type cachedPrefix struct {
	// Prefix must be the first promptPrefixBytes bytes of the prompt, or a whole
	// shorter prompt, to match the prefix ID of a request.
	Prefix string `json:"prefix"`
}

// ReadCachedPrefixes returns the IDs, as returned by PrefixID, of the prompt prefixes
// that a model engine reports as cached.
func (r *LoadReader) ReadCachedPrefixes(ctx context.Context, ep bbtfleet.Endpoint) ([]uint64, error) {
	var records []cachedPrefix
	if err := r.getJSON(ctx, ep, "/cache-events", &records); err != nil {
		return nil, err
	}
	ids := make([]uint64, 0, len(records))
	for _, rec := range records {
		ids = append(ids, PrefixID(rec.Prefix))
	}
	return ids, nil
}
