// Package gladeview follows the objects of one kind in the platform's store.
//
// A Follow lists them, watches for changes and begins anew when the store has lost its history.  It promises to tell
// of each change that the store still knows, in order, and of each list, and to go on through outages.  It does not
// promise that what it tells is the newest: the receiver keeps to versions of its own.
package gladeview
