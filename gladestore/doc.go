// Package gladestore is a client of the platform's object API and of its list of VMs, which may be out of date.
//
// Guarantees:
//   - Reads are retried a bounded number of times.
//   - Create, Update and Delete send a write at most once per call.
//   - CreateOnce and UpdateOnce read the object back to resolve a write whose response was lost.
//   - Follow never delivers a version below one that it has delivered.
//
// A write that fails with ErrUnavailable may have taken effect, unless the error is also ErrNotSent.
package gladestore
