package bbtconfig

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtunit"
)

// TargetPartSize is the target size of a part with contracts, in bytes. A
// changed contract makes readers fetch one such part again, and a starting host
// reads all of them.
const TargetPartSize = 128 * bbtunit.Kibibyte

// Format returns the manifest and the parts of a configuration. The contracts
// are distributed over parts by the hash of their accounts, so that a changed
// contract changes a single part.
func Format(r bbtfleet.Revision, cfg *bbtfleet.Configuration) (manifest []byte, parts []Part) {
	var zones, endpoints bytes.Buffer
	for _, z := range cfg.Zones() {
		appendSection(&zones, FormatZone(z))
	}
	for _, e := range cfg.Endpoints() {
		appendSection(&endpoints, FormatEndpoint(e))
	}
	parts = appendPart(parts, "zones", zones.Bytes())
	parts = appendPart(parts, "endpoints", endpoints.Bytes())
	for i, text := range formatContracts(cfg.Contracts()) {
		parts = appendPart(parts, fmt.Sprintf("contracts-%d", i+1), text)
	}
	return FormatManifest(r, parts), parts
}

// formatContracts returns the texts of the parts that contain the contracts.
// The number of parts is a power of two, so that contracts rarely move to other
// parts as their total size grows.
func formatContracts(contracts []bbtfleet.Contract) [][]byte {
	sections := make([][]byte, len(contracts))
	total := 0
	for i, c := range contracts {
		sections[i] = FormatContract(c)
		total += len(sections[i])
	}
	n := 1
	for total > n*int(TargetPartSize) {
		n *= 2
	}
	buffers := make([]bytes.Buffer, n)
	for i, c := range contracts {
		part := xxhash.Sum64String(string(c.Account())) % uint64(n)
		appendSection(&buffers[part], sections[i])
	}
	texts := make([][]byte, n)
	for i := range buffers {
		texts[i] = buffers[i].Bytes()
	}
	return texts
}

// appendSection appends a section, separated by a blank line.
func appendSection(b *bytes.Buffer, section []byte) {
	if b.Len() > 0 {
		b.WriteByte('\n')
	}
	b.Write(section)
}

// appendPart appends a part unless it is empty.
func appendPart(parts []Part, key string, text []byte) []Part {
	if len(text) == 0 {
		return parts
	}
	return append(parts, NewPart(key, text))
}
