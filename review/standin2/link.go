package main

import (
	"net"
	"time"
)

// startLink starts a proxy that delays all bytes by a time in each direction, as a network does, and returns
// its address.
func startLink(target string, delay time.Duration) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp4", target)
			if err != nil {
				near.Close()
				continue
			}
			go carry(near, far, delay)
			go carry(far, near, delay)
		}
	}()
	return listener.Addr().String(), nil
}

type parcel struct {
	data []byte // nil: the end
	due  time.Time
}

// carry copies bytes from one connection to the other, each a delay after it came.
func carry(from, to net.Conn, delay time.Duration) {
	parcels := make(chan parcel, 1024)
	go func() {
		defer from.Close()
		defer to.Close()
		for p := range parcels {
			time.Sleep(time.Until(p.due))
			if p.data == nil {
				return
			}
			if _, err := to.Write(p.data); err != nil {
				return
			}
		}
	}()
	for {
		buffer := make([]byte, 16<<10)
		count, err := from.Read(buffer)
		if count > 0 {
			parcels <- parcel{buffer[:count], time.Now().Add(delay)}
		}
		if err != nil {
			parcels <- parcel{nil, time.Now().Add(delay)}
			return
		}
	}
}
