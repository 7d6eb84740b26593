package proxy

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/property"
)

// Guards against memory of a tenant that becomes isolated and stays in the reach of others, and the reverse: whatever
// tenants become isolated and ordinary again, and whichever declaration of the last a node has, no request uses what
// another tenant has made while one of the two is isolated.
func TestIsolatedTenantsShareNoMemoryWhateverHasChanged(t *testing.T) {
	const tenants, declarations = 4, 12
	property.CheckMany(t, 300, func(t *rapid.T) {
		// makers holds, by salt, who has made memory there.
		makers := map[string]map[int]bool{}
		for range declarations {
			isolated := rapid.SliceOfN(rapid.Bool(), tenants, tenants).Draw(t, "isolated")
			declaration := catalog.Declaration{Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{}}}}
			for i, alone := range isolated {
				declaration.Tenants = append(declaration.Tenants, catalog.TenantKeys{Tenant: catalog.Tenant{Name: fmt.Sprint("t", i), Isolated: alone}})
			}
			snapshot := catalog.New(declaration)
			for range 6 {
				user := rapid.IntRange(0, tenants-1).Draw(t, "user")
				salt := saltOf(snapshot, &declaration.Tenants[user].Tenant)
				for maker := range makers[salt] {
					require.True(t, maker == user || !isolated[maker] && !isolated[user], "tenant %d uses what tenant %d has made", user, maker)
				}
				if makers[salt] == nil {
					makers[salt] = map[int]bool{}
				}
				makers[salt][user] = true
			}
		}
	})
}

// saltOf returns the salt of a tenant's requests under a declaration.
func saltOf(snapshot *catalog.Snapshot, tenant *catalog.Tenant) string {
	placer := newPlacer(nil, &admitted{
		request: &Request{Prompt: &Prompt{Model: "m"}}, replica: &catalog.Replica{Snapshot: snapshot}, service: snapshot.Service("s"), tenant: tenant,
	})
	return placer.salt(cacheBuild{weights: 1, software: "v1"})
}

func TestTenantsShareMemoryWhileSetOfIsolatedTenantsStays(t *testing.T) {
	salts := func(isolated ...bool) (salts []string) {
		declaration := catalog.Declaration{Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{}}}}
		for i, alone := range isolated {
			declaration.Tenants = append(declaration.Tenants, catalog.TenantKeys{Tenant: catalog.Tenant{Name: fmt.Sprint("t", i), Isolated: alone}})
		}
		for i := range isolated {
			salts = append(salts, saltOf(catalog.New(declaration), &declaration.Tenants[i].Tenant))
		}
		return salts
	}
	before, during := salts(false, false, false), salts(true, false, false)
	require.Equal(t, before[1], before[0])
	require.Equal(t, during[2], during[1], "tenants that are not isolated share")
	require.NotEqual(t, during[0], during[1])
	require.NotEqual(t, before[1], during[1], "what the tenant has made before is out of reach")
	require.Equal(t, before, salts(false, false, false), "the set is as it was")
	require.Equal(t, during[0], salts(true, true, false)[0], "an isolated tenant keeps its memory")
}
