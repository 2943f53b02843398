package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// runner generates, compiles and runs verifiers.
type runner struct {
	spec string
	jobs int
	out  io.Writer
}

// row is one line of the printed table.
type row struct {
	search search
	result result
	idle   int
	err    error
}

// all runs the searches and prints the table in their order.
func (r *runner) all(ctx context.Context, searches []search) error {
	rows := make([]row, len(searches))
	var group errgroup.Group
	group.SetLimit(r.jobs)
	for i, s := range searches {
		group.Go(func() error {
			rows[i] = r.one(ctx, s)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return r.print(rows)
}

// print writes the table; the error says how many rows are red.
func (r *runner) print(rows []row) error {
	const format = "%-34s %-12s %-9s %-24s %10s %8s  %s\n"
	fmt.Fprintf(r.out, format, "search", "model", "kind", "mutant", "states", "depth", "verdict")
	red := 0
	for _, row := range rows {
		verdict := "holds"
		if row.search.mutant != "" {
			verdict = "fails as it must"
		}
		if row.idle > 0 {
			verdict += fmt.Sprintf(" (%d statements unreached)", row.idle)
		}
		if row.err != nil {
			red++
			verdict = "RED: " + row.err.Error()
		}
		s := row.search
		fmt.Fprintf(r.out, format, s.name, s.model, s.kind, s.mutant,
			strconv.Itoa(row.result.states), strconv.Itoa(row.result.depth),
			strings.Join(s.properties, ",")+": "+verdict)
	}
	if red > 0 {
		return errors.Newf("%d of %d searches red", red, len(rows))
	}
	return nil
}

// one runs a search in a directory of its own.
func (r *runner) one(ctx context.Context, s search) row {
	dir, err := os.MkdirTemp("", "speccheck-")
	if err != nil {
		return row{search: s, err: err}
	}
	defer os.RemoveAll(dir)
	report, err := r.report(ctx, s, dir)
	if err != nil {
		return row{search: s, err: err}
	}
	res, err := parseResult(report)
	if err != nil {
		return row{search: s, err: err}
	}
	out := row{search: s, result: res, err: s.verdict(res)}
	if s.mutant == "" && s.kind == safety {
		out.idle = unreached(report)
	}
	return out
}

// report returns the verifier's output.
func (r *runner) report(ctx context.Context, s search, dir string) (string, error) {
	model, err := filepath.Abs(filepath.Join(r.spec, s.model))
	if err != nil {
		return "", err
	}
	if out, err := run(ctx, dir, "spin", append(s.macros(), "-a", model)...); err != nil {
		return "", errors.Wrapf(err, "spin: %s", out)
	}
	if out, err := run(ctx, dir, "gcc", s.compilerArgs()...); err != nil {
		return "", errors.Wrapf(err, "gcc: %s", out)
	}
	out, err := run(ctx, dir, "./pan", s.verifierArgs()...)
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return "", errors.Wrap(err, "pan")
	}
	return out, nil
}

// compilerArgs returns the C compiler's arguments.
func (s search) compilerArgs() []string {
	args := []string{"-O1", "-w", "-DCOLLAPSE", "-DMEMLIM=" + strconv.Itoa(s.memory)}
	if s.kind == safety {
		args = append(args, "-DSAFETY", "-DNOCLAIM")
	} else {
		args = append(args, "-DNFAIR=4")
	}
	return append(args, "-o", "pan", "pan.c")
}

// verifierArgs returns the generated verifier's arguments.
func (s search) verifierArgs() []string {
	args := []string{"-m" + strconv.Itoa(s.depth), "-w" + strconv.Itoa(s.hash)}
	if s.kind == liveness {
		args = append(args, "-a", "-f", "-N", identifier(s.properties[0]))
	}
	return args
}

// run runs one command and returns what it prints.
func run(ctx context.Context, dir, name string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err
}
