package store

import "net/netip"

// IsAddress reports whether a text is an IP address and a port that a process can listen on. Entries of
// other writers may hold anything.
func IsAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}
