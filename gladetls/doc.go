// Package gladetls gives listeners and dialers mutual TLS whose keys can be replaced while they are in use.
//
// Keys are PEM files, which are read again at an interval.  It promises that new connections use the last
// keys that could be read whole, that both sides' certificates come from the configured authority, and that a
// peer which does not shake hands is cut off.  It does not end connections made under older keys.
package gladetls
