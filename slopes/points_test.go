package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestPoints(t *testing.T) {
	tests := []struct{ name, text, wantErr string }{
		{"good", "# a day\nBalancer,Machines,30,MemoryMB,4\nBalancer,Machines,100,MemoryMB,4.1\nBalancer,Machines,300,MemoryMB,5.3\n", ""},
		{"missing field", "Balancer,Machines,30,4\n", "fields"},
		{"invalid number", "Balancer,Machines,many,MemoryMB,4\n", "point 1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			folder := t.TempDir()
			file := filepath.Join(folder, "points.csv")
			if err := os.WriteFile(file, []byte(test.text), 0o644); err != nil {
				t.Fatal(err)
			}
			curves := &curveSet{}
			err := curves.readCSV(file)
			if test.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), test.wantErr) {
					t.Fatalf("%v, want %q", err, test.wantErr)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if err := curves.draw(folder); err != nil {
				t.Fatal(err)
			}
			if _, err := os.Stat(filepath.Join(folder, "Balancer-Machines-MemoryMB.png")); err != nil {
				t.Error(err)
			}
		})
	}
	if err := (&curveSet{}).readCSV(filepath.Join(t.TempDir(), "none.csv")); err == nil {
		t.Error("no error for a missing file")
	}
}
