package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/overload"
	"github.com/cloverrail/cloverrail/internal/settings"
)

// Guards against refusals for overload in deployments that have not asked for overload control.
func TestOverloadControlIsOffUnlessSet(t *testing.T) {
	p := &process{settings: settings.ProxyDefaults(), overload: overload.NewServices(overload.NewLocalPromises())}
	require.Nil(t, p.overloadControl())
	p.settings.OverloadControl = true
	require.NotNil(t, p.overloadControl())
}
