package hop

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// BenchmarkReadBody reads bodies of callers as a node does that passes them on.
func BenchmarkReadBody(b *testing.B) {
	for _, size := range []int{1 << 10, 48 << 10, 8 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			data, deadline := make([]byte, size), time.Now().Add(time.Hour)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(data))
				r.ContentLength = -1
				body, err := ReadBody(httptest.NewRecorder(), r, deadline)
				if err != nil {
					b.Fatal(err)
				}
				if s, ok := body.(*Stream); ok {
					if _, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, s.r, make([]byte, 32<<10)); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
