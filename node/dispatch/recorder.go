package dispatch

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"net/http"

	"eelgrassproxy.example/core/claims"
)

// recorder keeps a copy of a response for its claim. A response that is not a stream is held back until deliver, so that it is recorded
// before the caller sees it; the events of a stream are passed on immediately.
type recorder struct {
	http.ResponseWriter
	passThrough bool // whether writes go to the caller immediately
	status      int
	body        bytes.Buffer // at most claims.MaxResponseBody+1 bytes if passThrough is true
	digest      hash.Hash
}

func newRecorder(w http.ResponseWriter, passThrough bool) *recorder {
	return &recorder{ResponseWriter: w, passThrough: passThrough, digest: sha256.New()}
}

// Unwrap gives http.ResponseController access to the caller's connection.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	if r.passThrough {
		r.ResponseWriter.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) {
	r.digest.Write(p)
	if !r.passThrough {
		return r.body.Write(p)
	}
	room := claims.MaxResponseBody + 1 - r.body.Len()
	r.body.Write(p[:min(len(p), max(room, 0))])
	return r.ResponseWriter.Write(p)
}

// deliver writes a response that was held back. It always returns nil.
func (r *recorder) deliver() error {
	if r.passThrough {
		return nil
	}
	r.ResponseWriter.WriteHeader(r.status)
	// A failed write does not change the outcome: a resend gets the recorded response.
	_, _ = r.ResponseWriter.Write(r.body.Bytes())
	return nil
}

func (r *recorder) recordedResponse() claims.Response {
	return claims.Response{Status: r.status, ContentType: r.Header().Get("Content-Type"), Body: r.body.Bytes()}
}

// digestOnly returns the response with the digest of its body in place of the body. It records that the request ran and what its response
// was if the body is too large to keep.
func (r *recorder) digestOnly() claims.Response {
	return claims.Response{Status: r.status, ContentType: r.Header().Get("Content-Type"), BulkDigest: hex.EncodeToString(r.digest.Sum(nil))}
}
