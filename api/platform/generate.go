// Package platform holds the types, client and server generated from openapi.yaml.
package platform

//go:generate go tool ogen --config ../ogen.yaml --target . --package platform --clean openapi.yaml
