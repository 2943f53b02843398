package bbtprocess

import "io"

// StartEdge starts an entry host with the settings file at settingsPath, which has
// the form that the platform writes.
func (b Binaries) StartEdge(stderr io.Writer, settingsPath string) (*Process, error) {
	return start(stderr, b.host, "edge", "--boot", settingsPath)
}
