package main

import (
	"encoding/csv"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
)

// csvColumns is the number of columns of a file of data points. The file has no
// header line.
const csvColumns = 5 // Role, Against, X, Quantity, Value

// readCSV adds the data points of a CSV file, such as the results of another
// measurement program or the log statistics that program replay writes.
func (c *curveSet) readCSV(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close() //nolint:errcheck // it was only read
	r := csv.NewReader(file)
	r.FieldsPerRecord = csvColumns
	r.Comment = '#'
	records, err := r.ReadAll()
	if err != nil {
		return errors.Wrap(err, name)
	}
	for n, record := range records {
		x, errX := strconv.ParseFloat(record[2], 64)
		value, errValue := strconv.ParseFloat(record[4], 64)
		if err := errors.CombineErrors(errX, errValue); err != nil {
			return errors.Wrapf(err, "%s: point %d", name, n+1)
		}
		c.add(record[0], record[1], x, record[3], value)
	}
	return nil
}
