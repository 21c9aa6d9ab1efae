// Package gladetls adds mutual TLS to listeners and dialers and reloads the keys at run time.
//
// Certificates, private keys and certificate authorities are PEM files that are read again at an interval.
//
// Guarantees:
//   - New connections use the last set of files that was valid.
//   - Unless certificates are optional, both sides' certificates are verified against the configured authorities.
//   - A connection whose TLS handshake takes longer than 5 s on the listening side is closed.
//
// Connections that were opened with older keys stay open.
package gladetls
