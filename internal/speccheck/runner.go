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
	specDir string
	jobs    int
	out     io.Writer
}

// row is one row of the printed table.
type row struct {
	search    search
	result    result
	unreached int
	err       error
}

// runAll runs the searches in parallel and prints the results in the order of
// the list.
func (r *runner) runAll(ctx context.Context, searches []search) error {
	rows := make([]row, len(searches))
	var group errgroup.Group
	group.SetLimit(r.jobs)
	for i, s := range searches {
		group.Go(func() error {
			rows[i] = r.runSearch(ctx, s)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return r.print(rows)
}

// print writes the table and returns an error with the number of failed
// searches, if any.
func (r *runner) print(rows []row) error {
	const format = "%-34s %-12s %-9s %-24s %10s %8s  %s\n"
	fmt.Fprintf(r.out, format, "search", "model", "kind", "mutant", "states", "depth", "verdict")
	failed := 0
	for _, row := range rows {
		verdict := "holds"
		if row.search.mutant != "" {
			verdict = "violated as expected"
		}
		if row.unreached > 0 {
			verdict += fmt.Sprintf(" (%d statements unreached)", row.unreached)
		}
		if row.err != nil {
			failed++
			verdict = "FAILED: " + row.err.Error()
		}
		s := row.search
		fmt.Fprintf(r.out, format, s.name, s.model, s.kind, s.mutant,
			strconv.Itoa(row.result.states), strconv.Itoa(row.result.depth),
			strings.Join(s.properties, ",")+": "+verdict)
	}
	if failed > 0 {
		return errors.Newf("%d of %d searches failed", failed, len(rows))
	}
	return nil
}

// runSearch runs one search in a temporary directory.
func (r *runner) runSearch(ctx context.Context, s search) row {
	dir, err := os.MkdirTemp("", "speccheck-")
	if err != nil {
		return row{search: s, err: err}
	}
	defer os.RemoveAll(dir)
	report, err := r.runVerifier(ctx, s, dir)
	if err != nil {
		return row{search: s, err: err}
	}
	res, err := parseResult(report)
	if err != nil {
		return row{search: s, err: err}
	}
	out := row{search: s, result: res, err: s.verdict(res)}
	if s.mutant == "" && s.kind == safety {
		out.unreached = countUnreached(report)
	}
	return out
}

// runVerifier generates, compiles and runs the verifier and returns its output.
// A non-zero exit status of the verifier is not an error, as the report tells
// the outcome.
func (r *runner) runVerifier(ctx context.Context, s search, dir string) (string, error) {
	model, err := filepath.Abs(filepath.Join(r.specDir, s.model))
	if err != nil {
		return "", err
	}
	if out, err := runCommand(ctx, dir, "spin", append(s.macros(), "-a", model)...); err != nil {
		return "", errors.Wrapf(err, "spin: %s", out)
	}
	if out, err := runCommand(ctx, dir, "gcc", s.compilerArgs()...); err != nil {
		return "", errors.Wrapf(err, "gcc: %s", out)
	}
	out, err := runCommand(ctx, dir, "./pan", s.verifierArgs()...)
	var exitErr *exec.ExitError
	if err != nil && !errors.As(err, &exitErr) {
		return "", errors.Wrap(err, "pan")
	}
	return out, nil
}

// compilerArgs returns the arguments of gcc.
func (s search) compilerArgs() []string {
	args := []string{"-O1", "-w", "-DCOLLAPSE", "-DMEMLIM=" + strconv.Itoa(s.memoryMB)}
	if s.kind == safety {
		args = append(args, "-DSAFETY", "-DNOCLAIM")
	} else {
		args = append(args, "-DNFAIR=4")
	}
	return append(args, "-o", "pan", "pan.c")
}

// verifierArgs returns the arguments of the generated verifier.
func (s search) verifierArgs() []string {
	args := []string{"-m" + strconv.Itoa(s.maxDepth), "-w" + strconv.Itoa(s.hashBits)}
	if s.kind == liveness {
		args = append(args, "-a", "-f", "-N", identifier(s.properties[0]))
	}
	return args
}

// runCommand runs a command in dir and returns its combined output.
func runCommand(ctx context.Context, dir, name string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err
}
