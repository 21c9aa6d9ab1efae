package gladefleet

// VersionRule restricts the servers that a request may use by their software version. The zero value sets no restriction.
type VersionRule struct {
	// Only is the version that the request uses, and Except one that it must not use. Empty sets no restriction.
	Only, Except string
	// Fallback reports that servers of other versions may take the request if no server of Only can.
	Fallback bool
	// Concentrate is the fraction of the allowed servers that are used, in the order of their identifiers' hash. Zero
	// means all of them.
	Concentrate float64
}
