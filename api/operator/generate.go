// Package operator holds the types, client and server generated from openapi.yaml.
package operator

//go:generate go tool ogen --config ../ogen.yaml --target . --package operator --clean openapi.yaml
