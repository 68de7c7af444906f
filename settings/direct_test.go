package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/settings"
)

const validSettings = `id edge-1
domain Ikeja
packets 127.0.0.1:8000
http 127.0.0.1:8001
metrics 127.0.0.1:9102
store 127.0.0.1:8169
`

// readSettings reads and checks a settings file with the given text.
func readSettings(t *testing.T, text string) (settings.Direct, error) {
	path := filepath.Join(t.TempDir(), "instance.conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s := settings.New("balancer direct", "is tested")
	s.AddSettingsFlag()
	flags := s.DirectFlags("this instance")
	if err := s.Parse([]string{"--settings", path}); err != nil {
		return settings.Direct{}, err
	}
	d := flags.Check()
	return d, s.Err()
}

func TestSettingsFile(t *testing.T) {
	tests := []struct {
		name, text string
		valid      bool
	}{
		{"complete", validSettings, true},
		{"unknown setting", validSettings + "colour red\n", false},
		{"invalid address", validSettings + "http nowhere\n", false},
		{"empty", "", false},
		{"not valid UTF-8", "\xff\x00", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := readSettings(t, test.text)
			is := is.New(t)
			is.Equal(err == nil, test.valid)
			if err != nil {
				is.Equal(bramleyfall.CodeOf(err), bramleyfall.BadSetting)
			}
		})
	}
}

func FuzzSettingsFile(f *testing.F) {
	f.Add(validSettings)
	f.Add("id\n")
	f.Add("settings x\n")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := readSettings(t, text)
		if err == nil && (d.ID == "" || d.Domain == "" || d.Packets.IsZero() || d.Store == "") {
			t.Fatalf("accepted with a required setting missing: %+v", d)
		}
	})
}
