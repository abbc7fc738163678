package httpcall

import "net/url"

// BaseURL returns the root URL of a target, whose address is an IP number and a port.
func BaseURL(address string) *url.URL {
	return &url.URL{Scheme: "http", Host: address}
}
