package config

import (
	"fmt"
	"net/netip"
)

// Addr is an IPv4 address and port in settings, such as 127.0.0.1:7100. The zero value means no address.
type Addr struct{ netip.AddrPort }

// UnmarshalText parses an address such as 127.0.0.1:7100.
func (a *Addr) UnmarshalText(text []byte) error {
	parsed, err := netip.ParseAddrPort(string(text))
	if err != nil || !parsed.Addr().Is4() {
		return fmt.Errorf("%q is not an IPv4 address with a port, such as 127.0.0.1:7100", text)
	}
	a.AddrPort = parsed
	return nil
}

// MarshalText returns the address in the form that UnmarshalText parses, or an empty text for the zero value.
func (a Addr) MarshalText() ([]byte, error) {
	if !a.IsValid() {
		return []byte(""), nil
	}
	return []byte(a.String()), nil
}
