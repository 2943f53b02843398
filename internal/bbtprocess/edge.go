package bbtprocess

import "io"

// StartEdge starts an entry host by the edge command, which runs it on the platform
// that package platform adapts to. The settings file at settingsPath has the form
// that this platform writes. Fleet.StartHost uses the serve command instead, with an
// INI file.
func (b Binaries) StartEdge(stderr io.Writer, settingsPath string) (*Process, error) {
	return start(stderr, b.host, "edge", "--boot", settingsPath)
}
