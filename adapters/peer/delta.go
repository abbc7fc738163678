package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	peerapi "eelgrassproxy.example/api/peer"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
)

// Delta returns the delta that leads to the generation, or ErrNotFound. The caller verifies it.
func (c *Client) Delta(ctx context.Context, address string, to fleet.Generation) (bundle.Delta, error) {
	ctx, cancel := prepare(ctx, address, FetchTimeout, maxFetchResponse)
	defer cancel()
	wire, err := c.api.GetDelta(ctx, peerapi.GetDeltaParams{Generation: int64(to)})
	if err != nil {
		return bundle.Delta{}, translate(err)
	}
	data, err := io.ReadAll(wire)
	if err != nil {
		return bundle.Delta{}, translate(err)
	}
	delta, err := bundle.DecodeDelta(data)
	if err != nil {
		return bundle.Delta{}, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return delta, nil
}

// GetDelta implements GET /peer/v1/bundle/deltas/{generation}.
func (s *service) GetDelta(_ context.Context, params peerapi.GetDeltaParams) (peerapi.GetDeltaOK, error) {
	delta, ok := s.handlers.Delta(fleet.Generation(params.Generation))
	if !ok {
		return peerapi.GetDeltaOK{}, eris.Wrapf(ErrNotFound, "delta to generation %d", params.Generation)
	}
	data, err := bundle.EncodeDelta(delta)
	if err != nil {
		return peerapi.GetDeltaOK{}, err
	}
	return peerapi.GetDeltaOK{Data: bytes.NewReader(data)}, nil
}
