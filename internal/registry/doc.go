// Package registry implements the discovery of storage nodes: the instance's client, the snapshot file in
// which the last endpoint list is saved, the registration of a node, and a stand-in registry for the testbed,
// tests and the "list" command. Its frames are those of package proto; docs/protocol.md describes them.
package registry
