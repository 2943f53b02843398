package bbtprocess

import "io"

// StartEdge starts an entry host with the given boot file of the platform.
func (b Binaries) StartEdge(stderr io.Writer, bootFile string) (*Process, error) {
	return start(stderr, b.host, "edge", "--boot", bootFile)
}
