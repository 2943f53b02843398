package main

import (
	"path/filepath"
	"strings"
	"testing"

	"bluebelltray/platform"
	"github.com/cockroachdb/errors"
)

func TestEdgeRejectsUnusableSettings(t *testing.T) {
	t.Setenv(platform.SettingsPathEnv, "")
	absent := filepath.Join(t.TempDir(), "boot.toml")
	for name, c := range map[string]struct{ boot, want string }{
		"none named": {"", platform.SettingsPathEnv},
		"absent":     {absent, absent},
	} {
		err := (&edgeCmd{Boot: c.boot}).Run()
		var exit *exitError
		if !errors.As(err, &exit) || exit.ExitCode() != exitUnusable || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want exit status %d and %q", name, err, exitUnusable, c.want)
		}
	}
}
