package config

import (
	"fmt"
	"net/netip"
)

// Addr is an IPv4 address and port in settings, as 127.0.0.1:7100. The zero value is no address.
type Addr struct{ netip.AddrPort }

// UnmarshalText reads an address such as 127.0.0.1:7100.
func (a *Addr) UnmarshalText(text []byte) error {
	parsed, err := netip.ParseAddrPort(string(text))
	if err != nil || !parsed.Addr().Is4() {
		return fmt.Errorf("%q is no IPv4 address with a port, as 127.0.0.1:7100", text)
	}
	a.AddrPort = parsed
	return nil
}

// MarshalText returns the address as UnmarshalText reads it, or an empty text if there is none.
func (a Addr) MarshalText() ([]byte, error) {
	if !a.IsValid() {
		return []byte(""), nil
	}
	return []byte(a.String()), nil
}
