package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot/plotter"
)

// dayRouter is what places the requests of a day.
type dayRouter string

const (
	// routerDirect is the direct mode.
	routerDirect dayRouter = "Direct"
	// routerOmniscient is a bound.
	routerOmniscient dayRouter = "Omniscient"
)

// variant is one of the ways that an experiment compares.
type variant struct {
	Name   string
	Router dayRouter
	// Off names the mechanisms that are turned off.
	Off []string
	// Insight tells what an omniscient router knows of the age of a request.
	Insight insight
}

// experiment is what a settings file asks for.
type experiment struct {
	// Sites and Days name what is played; all where they are empty.
	Sites, Days []string
	// Seeds is the number of plays of each variant on each day.
	Seeds    int
	Variants []variant
}

// readExperiment reads a settings file.
func readExperiment(file string) (*experiment, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	decoder := json.NewDecoder(f)
	decoder.DisallowUnknownFields()
	e := &experiment{}
	if err := decoder.Decode(e); err != nil {
		return nil, errors.Wrap(err, file)
	}
	return e, errors.Wrap(e.check(), file)
}

func (e *experiment) check() error {
	if e.Seeds < 1 || len(e.Variants) == 0 {
		return errors.New("an experiment needs at least one seed and one variant")
	}
	for _, v := range e.Variants {
		switch {
		case v.Router != routerDirect && v.Router != routerOmniscient:
			return errors.Newf("variant %s: router %q is neither %s nor %s", v.Name, v.Router, routerDirect, routerOmniscient)
		case v.Router == routerOmniscient && !slices.Contains([]insight{sinceAsked, sinceSeen, byCopies}, v.Insight):
			return errors.Newf("variant %s: insight %q is unknown", v.Name, v.Insight)
		}
		for _, name := range v.Off {
			if _, ok := switches[name]; !ok {
				return errors.Newf("variant %s: no mechanism is called %q", v.Name, name)
			}
		}
	}
	if len(e.chosen()) == 0 {
		return errors.Newf("no day is called one of %v at one of %v", e.Days, e.Sites)
	}
	return nil
}

// chosen returns the days that are played.
func (e *experiment) chosen() []day {
	return slices.DeleteFunc(days(), func(d day) bool {
		return len(e.Sites) > 0 && !slices.Contains(e.Sites, d.Site.Name) || len(e.Days) > 0 && !slices.Contains(e.Days, d.Name)
	})
}

// play plays a day once.
func (v *variant) play(d *day, seed uint64) *dayPlay {
	p := newDayPlay(d, seed)
	if v.Router == routerOmniscient {
		p.way = newOmniscient(p, v.Insight)
	} else {
		p.way = newDirectDay(p, without(v.Off))
	}
	p.run()
	return p
}

// result is what a variant showed on a day, for each seed.
type result struct {
	service []float64
	windows []plotter.XYs
	counts  dayCounts
}

// spread returns the standard deviation.
func spread(values []float64) float64 {
	m, sum := mean(values), 0.0
	for _, v := range values {
		sum += (v - m) * (v - m)
	}
	return math.Sqrt(sum / float64(len(values)))
}

// run plays all variants and prints a line for each on each day, with its service
// and how far that is from the first variant's. Progress goes to log.
func (e *experiment) run(out, log io.Writer, folder string) error {
	began := time.Now()
	chosen := e.chosen()
	for i := range chosen {
		d := &chosen[i]
		results := e.playDay(d)
		for n, v := range e.Variants {
			r := &results[n]
			fmt.Fprintf(out, "Experiment Site=%s Day=%s Variant=%s Service=%.4f Spread=%.4f Difference=%+.4f Late=%d Failed=%d Seeds=%d\n",
				d.Site.Name, d.Name, v.Name, mean(r.service), spread(r.service), mean(r.service)-mean(results[0].service),
				r.counts.late/e.Seeds, r.counts.failed/e.Seeds, e.Seeds)
		}
		fmt.Fprintf(log, "%d of %d days played in %.0f s\n", i+1, len(chosen), time.Since(began).Seconds())
		if folder != "" {
			if err := e.draw(folder, d, results); err != nil {
				return err
			}
		}
	}
	return nil
}

// playDay plays all variants and seeds of a day at the same time.
func (e *experiment) playDay(d *day) []result {
	results := make([]result, len(e.Variants))
	plays := make([][]dayCounts, len(e.Variants))
	var group sync.WaitGroup
	slots := make(chan struct{}, max(1, runtime.NumCPU()/2))
	for n := range e.Variants {
		results[n].service = make([]float64, e.Seeds)
		results[n].windows = make([]plotter.XYs, e.Seeds)
		plays[n] = make([]dayCounts, e.Seeds)
		for seed := range e.Seeds {
			group.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				t := &e.Variants[n].play(d, uint64(seed+1)).tally
				results[n].service[seed], results[n].windows[seed] = t.service(), t.curve()
				plays[n][seed] = t.sum()
			})
		}
	}
	group.Wait()
	for n := range results {
		for _, c := range plays[n] {
			results[n].counts.add(c)
		}
	}
	return results
}

// draw draws the service in each window, of the first seed.
func (e *experiment) draw(folder string, d *day, results []result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	var lines []any
	for n, v := range e.Variants {
		lines = append(lines, v.Name, results[n].windows[0])
	}
	name := d.Site.Name + "-" + d.Name
	return drawLines(filepath.Join(folder, "Day-"+name+".png"), name, "credit of what is owed", lines)
}
