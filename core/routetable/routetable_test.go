package routetable_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/routetable"
)

func table() *routetable.Table {
	backend := func(s string) []routetable.Backend { return []routetable.Backend{{Service: s, Weight: 1}} }
	return routetable.New(3, routetable.Limits{}, []*routetable.Route{
		{Name: "root", Host: "a.example", Prefix: "/", Backends: backend("s0")},
		{Name: "short", Host: "a.example", Prefix: "/q/", Backends: backend("s1")},
		{Name: "long", Host: "a.example", Prefix: "/q/deep/", Backends: backend("s2")},
		{Name: "other", Host: "b.example", Prefix: "/q/", Backends: backend("s3")},
	})
}

// Guards against requests that are routed by a shorter prefix or by another host.
func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	cases := map[string]struct{ host, path, route string }{
		"the longest prefix goes first":                 {"a.example", "/q/deep/1", "long"},
		"a prefix matches whole segments only":          {"a.example", "/q/deeper", "short"},
		"without a longer prefix the root matches":      {"a.example", "/z", "root"},
		"a port in the host does not matter":            {"b.example:80", "/q/1", "other"},
		"the case of the host does not matter":          {"B.EXAMPLE", "/q/1", "other"},
		"dots in a path are not resolved":               {"a.example", "/q/../q/deep/1", "short"},
		"a host without a matching prefix has no route": {"b.example", "/r/1", ""},
		"an unknown host has no route":                  {"c.example", "/q/1", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			route := table().Match(c.host, c.path)
			if c.route == "" {
				require.Nil(t, route)
				return
			}
			require.NotNil(t, route)
			require.Equal(t, c.route, route.Name)
		})
	}
}

// Guards against the route of a job that is taken from another host or for a route of another kind.
func TestBatchRouteIsFoundByItsHostAndName(t *testing.T) {
	table := routetable.New(3, routetable.Limits{}, []*routetable.Route{
		{Name: "jobs", Host: "a.example", Prefix: "/j/", Kind: routetable.Batch},
		{Name: "beside", Host: "a.example", Prefix: "/j/x/", Kind: routetable.Batch},
		{Name: "online", Host: "a.example", Prefix: "/o/", Kind: routetable.Stream},
	})
	require.Equal(t, "/j/", table.BatchRoute("a.example", "jobs").Prefix)
	require.Equal(t, "/j/", table.BatchRoute("A.EXAMPLE:80", "jobs").Prefix)
	require.Nil(t, table.BatchRoute("a.example", "online"))
	require.Nil(t, table.BatchRoute("a.example", "none"))
	require.Nil(t, table.BatchRoute("b.example", "jobs"))
}

// Guards against a weighted choice of a service with weight 0 or of an index beyond the backends.
func TestBackendFollowsTheWeights(t *testing.T) {
	route := &routetable.Route{Backends: []routetable.Backend{{Service: "none", Weight: 0}, {Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	require.Equal(t, "a", route.Backend(0))
	require.Equal(t, "a", route.Backend(0.899))
	require.Equal(t, "b", route.Backend(0.901))
	require.Equal(t, "b", route.Backend(0.999999))
	unweighted := &routetable.Route{Backends: []routetable.Backend{{Service: "only"}}}
	require.Equal(t, "only", unweighted.Backend(0.5))
}
