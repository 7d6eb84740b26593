package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const proxyFile = `name: n
zone: a
callerAddress: 127.0.0.1:1
readinessAddress: 127.0.0.1:2
peerAddress: 127.0.0.1:3
storeAddress: 127.0.0.1:4
`

// readProxy reads a settings file with additional lines.
func readProxy(t *testing.T, lines string) (Proxy, error) {
	path := filepath.Join(t.TempDir(), "proxy.yaml")
	require.NoError(t, os.WriteFile(path, []byte(proxyFile+lines), 0o600))
	return ReadProxy(path)
}

func TestMemorySetting(t *testing.T) {
	for lines, bytes := range map[string]int64{
		"":                            0,
		"memoryMegabytes:\n":          0,
		"memoryMegabytes: 0\n":        0,
		"memoryMegabytes: 184\n":      184_000_000,
		"memoryMegabytes: 536.0\n":    536_000_000,
		"memoryMegabytes: 1.844e+2\n": 184_400_000,
	} {
		settings, err := readProxy(t, lines)
		require.NoError(t, err, lines)
		require.Equal(t, bytes, settings.MemoryBytes(), lines)
	}
}

// Guards against a node that starts without a bound, or refuses every request, because of a bad value.
func TestBadMemorySettingIsRefused(t *testing.T) {
	for value, remedy := range map[string]string{
		"-1":    "use at least 0",
		"1e12":  "use at most 1e9",
		".inf":  "use at most 1e9",
		".nan":  "use at least 0",
		"184MB": "write a number such as 1.5",
		"[184]": "write a number such as 1.5",
	} {
		_, err := readProxy(t, "memoryMegabytes: "+value+"\n")
		require.ErrorContains(t, err, "memoryMegabytes", value)
		require.ErrorContains(t, err, remedy, value)
	}
}
