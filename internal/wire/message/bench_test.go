package message

import "testing"

// BenchmarkCheck follows a short response of a target and one of a node.
func BenchmarkCheck(b *testing.B) {
	for name, text := range map[string]string{
		"target": "HTTP/1.1 200 OK\r\nX-Echoed: 9c41d07be2a35f68\r\nX-Signed: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello",
		"node":   "HTTP/1.1 200 OK\r\nBl-Load: 0.50 60000\r\nBl-Version: 12\r\nContent-Type: text/plain\r\nX-Echoed: 9c41d07be2a35f68\r\nX-Signed: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: 5\r\n\r\nhello",
	} {
		b.Run(name, func(b *testing.B) {
			var c check
			p := []byte(text)
			b.SetBytes(int64(len(p)))
			b.ReportAllocs()
			for b.Loop() {
				if ended, err := c.next(p); ended != len(p) || err != nil {
					b.Fatal(ended, err)
				}
			}
		})
	}
}
