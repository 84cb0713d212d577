package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// part is one process of a measurement. It is told to end by the end of its
// standard input, so that none outlives the measurement, however that ends.
type part struct {
	name string
	cmd  *exec.Cmd
	in   io.WriteCloser
	out  *bufio.Reader
	told Told
}

// Told is what a part says once it serves.
type Told struct {
	Address string `json:"address"`
}

// usage is what a part says of the processor time it has used.
type usage struct {
	CPUMicros int64 `json:"cpu_us"`
}

// startPart starts the stand-in's own binary with a command.
func startPart(ctx context.Context, name string, args ...string) (*part, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, &PartError{Part: name, Err: err}
	}
	cmd := exec.CommandContext(ctx, exe, args...)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, &PartError{Part: name, Err: err}
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, &PartError{Part: name, Err: err}
	}
	if err := cmd.Start(); err != nil {
		return nil, &PartError{Part: name, Err: err}
	}
	p := &part{name: name, cmd: cmd, in: in, out: bufio.NewReader(out)}
	if err := p.read(&p.told); err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

func (p *part) read(v any) error {
	line, err := p.out.ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, v)
	}
	if err != nil {
		return &PartError{Part: p.name, Err: err}
	}
	return nil
}

// cpu returns the processor time that the part has used.
func (p *part) cpu() (time.Duration, error) {
	if _, err := io.WriteString(p.in, "usage\n"); err != nil {
		return 0, &PartError{Part: p.name, Err: err}
	}
	var u usage
	if err := p.read(&u); err != nil {
		return 0, err
	}
	return time.Duration(u.CPUMicros) * time.Microsecond, nil
}

func (p *part) stop() {
	_ = p.in.Close()
	_ = p.cmd.Wait()
}

// Attend is the part's side: it says what it serves, answers each line of in
// with the processor time used, and returns at the end of in.
func Attend(in io.Reader, out io.Writer, told Told) error {
	enc := json.NewEncoder(out)
	if err := enc.Encode(told); err != nil {
		return &PartError{Part: told.Address, Err: err}
	}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			return &PartError{Part: told.Address, Err: err}
		}
		micros := (u.Utime.Sec+u.Stime.Sec)*1e6 + u.Utime.Usec + u.Stime.Usec
		if err := enc.Encode(usage{CPUMicros: micros}); err != nil {
			return &PartError{Part: told.Address, Err: err}
		}
	}
	return lines.Err()
}

// PartError tells of a process of a measurement that does not do its part.
type PartError struct {
	Part string
	Err  error
}

func (e *PartError) Error() string { return fmt.Sprintf("part %s: %v", e.Part, e.Err) }

// Unwrap returns the reason.
func (e *PartError) Unwrap() error { return e.Err }
