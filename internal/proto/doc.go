// Package proto implements the native protocol between clients, instances, nodes and the registry: frames
// over TCP, with many requests in flight on one connection and answers in any order. docs/protocol.md
// describes it for other implementations.
package proto
