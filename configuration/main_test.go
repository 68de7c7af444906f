package configuration_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed default seed for the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20260101")
	}
	os.Exit(m.Run())
}
