// Package caller holds the types, client and server generated from openapi.yaml.
package caller

//go:generate go tool ogen --config ../ogen.yaml --target . --package caller --clean openapi.yaml
