package bramleyfall_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
)

func TestResultCodesPageListsAllCodes(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("docs/RESULT-CODES.md")
	is.NoErr(err)
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
			rows++
		}
	}
	is.Equal(rows, len(bramleyfall.ResultCodes())) // no row for a code that is gone
	for code, name := range bramleyfall.ResultCodes() {
		if !strings.Contains(string(page), fmt.Sprintf("| %d | %s |", int(code), name)) {
			t.Errorf("docs/RESULT-CODES.md lacks %d %s", int(code), name)
		}
	}
}
