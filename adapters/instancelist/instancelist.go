// Package instancelist is the client of the platform's lagging list of live and leaving instances and targets.
package instancelist

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/api/platform"
	"eelgrassproxy.example/core/fleet"
)

// ErrUnavailable means that the list cannot be read now.
var ErrUnavailable = eris.New("instance list is unavailable")

// Entry is one instance of the system on the list.
type Entry struct {
	ID            fleet.InstanceID
	PeerAddress   string
	FailureDomain fleet.FailureDomain
	Leaving       bool
}

// Changes are what changed after a revision.
type Changes struct {
	Revision  int64
	Instances []Entry
	Targets   []fleet.Target
	Gone      []string // ids of instances and targets that are no longer listed
}

// Client reads the list. It is safe for concurrent use.
type Client struct{ api *platform.Client }

// NewClient returns a client of the list at the base URL.
func NewClient(baseURL string, client *http.Client) (*Client, error) {
	api, err := platform.NewClient(baseURL, platform.WithClient(client))
	if err != nil {
		return nil, eris.Wrap(err, "client of the instance list")
	}
	return &Client{api: api}, nil
}

// Changes returns what changed after the revision; 0 asks for everything.
func (c *Client) Changes(ctx context.Context, since int64) (Changes, error) {
	res, err := c.api.ListInstances(ctx, platform.ListInstancesParams{Since: platform.NewOptInt64(since)})
	if err != nil {
		return Changes{}, eris.Wrap(ErrUnavailable, err.Error())
	}
	wire, ok := res.(*platform.InstanceChanges)
	if !ok {
		return Changes{}, eris.Wrapf(ErrUnavailable, "unexpected result %T", res)
	}
	return convert(wire), nil
}

func convert(wire *platform.InstanceChanges) Changes {
	out := Changes{Revision: wire.Revision}
	for _, i := range wire.Instances {
		switch {
		case i.State == platform.InstanceStateGone:
			out.Gone = append(out.Gone, i.ID)
		case i.Kind == platform.InstanceKindEntry:
			out.Instances = append(out.Instances, Entry{
				ID:            fleet.InstanceID(i.ID),
				PeerAddress:   i.Address,
				FailureDomain: fleet.FailureDomain(i.FailureDomain),
				Leaving:       i.State == platform.InstanceStateLeaving,
			})
		default:
			out.Targets = append(out.Targets, targetOf(i))
		}
	}
	return out
}

func targetOf(i platform.Instance) fleet.Target {
	return fleet.Target{
		ID:            fleet.TargetID(i.ID),
		Kind:          fleet.TargetKind(i.Kind),
		Service:       i.Name.Or(""),
		Address:       i.Address,
		FailureDomain: fleet.FailureDomain(i.FailureDomain),
		State:         fleet.TargetState(i.State),
	}
}
