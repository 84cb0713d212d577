package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
)

// report runs a measurement and writes its figures as one line of JSON.
func report[F any](ctx context.Context, out io.Writer, name string, run func(context.Context) (F, error)) error {
	f, err := run(ctx)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if err := json.NewEncoder(out).Encode(f); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
