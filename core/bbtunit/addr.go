package bbtunit

import "net/netip"

// ParseAddr parses an IP address with a port. It returns the canonical form, so
// that equal addresses have equal texts.
func ParseAddr(text string) (string, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Port() == 0 || addr.Addr().Zone() != "" {
		return "", newError(text, "is not a valid address", "an IP address and a port, such as 10.0.0.1:8000")
	}
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()).String(), nil
}
