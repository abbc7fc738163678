package rawhttp

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalidRequest means that a request was not sent, to this target or any other, because a target could read it as another one, or as several.
var ErrInvalidRequest = eris.New("request has text that its head cannot have")

// framingHeaders are written by the client itself.
var framingHeaders = []string{"Host", "Connection", "Content-Length", "Transfer-Encoding"}

// maxQuoted bounds the text of a request in an error, in bytes.
const maxQuoted = 80

// validate checks that a target reads the request as the one that it is. Its texts come from callers, the store and the configuration, and the client
// writes them as they are. Errors: ErrInvalidRequest.
func (r *Request) validate() error {
	switch {
	case !httpguts.ValidHeaderFieldName(r.Method): // a token as well
		return eris.Wrapf(ErrInvalidRequest, "method %.*q", maxQuoted, r.Method)
	case !IsTarget(r.URI):
		return eris.Wrapf(ErrInvalidRequest, "target %.*q", maxQuoted, r.URI)
	case strings.ContainsAny(r.Host, " \t") || !httpguts.ValidHostHeader(r.Host):
		return eris.Wrapf(ErrInvalidRequest, "host %.*q", maxQuoted, r.Host)
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(ErrInvalidRequest, "name of header %.*q", maxQuoted, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return eris.Wrapf(ErrInvalidRequest, "value %.*q of header %s", maxQuoted, value, name)
			}
		}
	}
	for _, name := range framingHeaders {
		if r.names(name) {
			return eris.Wrapf(ErrInvalidRequest, "%s is set by the client itself", name)
		}
	}
	return nil
}

// IsTarget reports whether a text is a path, with or without a query, that a target reads as the whole of it from the first line of a request.
func IsTarget(text string) bool {
	_, err := url.ParseRequestURI(text)
	return err == nil && strings.HasPrefix(text, "/") && !strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c == 0x7f })
}

// names reports whether the header has a field, in any case.
func (r *Request) names(field string) bool {
	if _, ok := r.Header[field]; ok {
		return true
	}
	for name := range r.Header {
		if len(name) == len(field) && http.CanonicalHeaderKey(name) == field {
			return true
		}
	}
	return false
}
