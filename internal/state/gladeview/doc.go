// Package gladeview follows the objects of one kind in the platform's store.
//
// Follow lists the objects, watches for changes, and lists again when the store has lost its history. It reports every
// list and every change that the store still knows, in order, and continues after outages. What it reports may be out
// of date, so the receiver must compare versions itself.
package gladeview
