// Package engine holds the types, client and server generated from openapi.yaml.
package engine

//go:generate go tool ogen --config ../ogen.yaml --target . --package engine --clean openapi.yaml
