package bbtprocess

import "io"

// StartEdge starts an entry host on a platform with its settings file.
func (b Binaries) StartEdge(stderr io.Writer, boot string) (*Process, error) {
	return start(stderr, b.host, "edge", "--boot", boot)
}
