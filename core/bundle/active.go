package bundle

import "eelgrassproxy.example/core/fleet"

// Active is a verified bundle indexed for the request path. It is immutable and safe for concurrent use.
type Active struct {
	document *Document
	manifest SignedManifest
}

// Generation returns the bundle's generation.
func (a *Active) Generation() fleet.Generation { return a.document.Generation }

// Manifest returns the signed manifest, for peers that ask for it.
func (a *Active) Manifest() SignedManifest { return a.manifest }
