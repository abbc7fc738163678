// Package peer holds the types, client and server generated from openapi.yaml.
package peer

//go:generate go tool ogen --config ../ogen.yaml --target . --package peer --clean openapi.yaml
