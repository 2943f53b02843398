package bbtprocess

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Process is one running program.
type Process struct {
	cmd  *exec.Cmd
	addr string
}

// start runs a program.
func start(stderr io.Writer, path string, args ...string) (*Process, error) {
	cmd := exec.Command(path, args...)
	cmd.Stderr = stderr
	// The program ends with the test that started it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", path)
	}
	return &Process{cmd: cmd}, nil
}

// startStandin runs a stand-in and reads the address it prints.
func startStandin(stderr io.Writer, path string, args ...string) (*Process, error) {
	cmd := exec.Command(path, args...)
	cmd.Stderr = stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", path)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, errors.Wrapf(err, "read address of %v", args)
	}
	return &Process{cmd: cmd, addr: strings.TrimSpace(line)}, nil
}

// Addr returns the address that the process serves.
func (p *Process) Addr() string { return p.addr }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Freeze stops the process and returns once it no longer runs.
func (p *Process) Freeze(ctx context.Context) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return Await(ctx, "the process stops", p.stopped)
}

// stopped reports whether the kernel shows the process as stopped. Its state
// stands behind the program's name in parentheses.
func (p *Process) stopped() bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	return strings.HasPrefix(rest, "T")
}

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // it may have ended by itself
	_ = p.cmd.Wait()
}

// Wait waits until the process ends and returns its error.
func (p *Process) Wait() error { return p.cmd.Wait() }
