// Package registry is the protocol by which instances learn of the storage nodes. It holds the instance's
// client, the snapshot file in which the last list is saved, and a stand-in registry to run against. Its
// frames are those of package proto; docs/protocol.md describes them.
package registry
