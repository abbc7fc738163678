package instancelist

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/api/platform"
)

// errDamaged means that an answer has no revision or no instances.
var errDamaged = eris.New("answer has no revision or no instances")

// answer keeps the body of one answer that the generated client decodes.
type answer struct {
	status int
	body   bytes.Buffer
}

type answerKey struct{}

// keepingClient is the HTTP client of the generated client. It keeps the body of an answer for decodeEach.
type keepingClient struct{ client *http.Client }

// Do implements the client interface of the generated code.
func (k keepingClient) Do(r *http.Request) (*http.Response, error) {
	response, err := k.client.Do(r)
	if err != nil {
		return nil, err
	}
	if kept, ok := r.Context().Value(answerKey{}).(*answer); ok {
		kept.status = response.StatusCode
		response.Body = &teeBody{ReadCloser: response.Body, reader: io.TeeReader(response.Body, &kept.body)}
	}
	return response, nil
}

type teeBody struct {
	io.ReadCloser
	reader io.Reader
}

// Read implements io.Reader.
func (t *teeBody) Read(p []byte) (int, error) { return t.reader.Read(p) }

// keepAnswer returns a context in which the answer of one call is kept.
func keepAnswer(ctx context.Context) (context.Context, *answer) {
	kept := &answer{}
	return context.WithValue(ctx, answerKey{}, kept), kept
}

// decodeEach decodes an answer instance by instance, and returns the number of instances that were left out because they cannot be read.
func decodeEach(kept *answer) (*platform.InstanceChanges, int, error) {
	var loose struct {
		Revision  *int64            `json:"revision"`
		Instances []json.RawMessage `json:"instances"`
	}
	if err := json.Unmarshal(kept.body.Bytes(), &loose); err != nil {
		return nil, 0, err
	}
	if kept.status != http.StatusOK || loose.Revision == nil || loose.Instances == nil {
		return nil, 0, errDamaged
	}
	changes, unreadable := &platform.InstanceChanges{Revision: *loose.Revision}, 0
	for _, raw := range loose.Instances {
		var instance platform.Instance
		if instance.UnmarshalJSON(raw) != nil || instance.Validate() != nil {
			unreadable++
			continue
		}
		changes.Instances = append(changes.Instances, instance)
	}
	return changes, unreadable, nil
}
