package qfrpc

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
)

// randomName returns a name like those that operators' tools generate.
func randomName(random *rand.Rand, length int) string {
	name := make([]byte, length)
	for i := range name {
		name[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[random.IntN(36)]
	}
	return string(name)
}

// BenchmarkConfiguration measures the size of a configuration with many routes on its way to a
// member, and the time to compress and decompress it.
func BenchmarkConfiguration(b *testing.B) {
	for _, routes := range []int{50, 1450, 4250, 12750} {
		random := rand.New(rand.NewPCG(1, 2))
		var text bytes.Buffer
		for range routes {
			fmt.Fprintf(&text, `{"name":"r-%s","host":"chat.example","prefix":"/%s/","kind":"safe","timeout-ms":4000,"slo-ms":300,"priority":2,"service":"books","attempts":2,"public":true},`,
				randomName(random, 7), randomName(random, 8))
		}
		d, err := newDeflater()
		if err != nil {
			b.Fatal(err)
		}
		compressed, err := d.deflate(text.Bytes())
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("compress ", routes), func(b *testing.B) {
			for b.Loop() {
				d.cache.Purge()
				if _, err := d.deflate(text.Bytes()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(text.Len()), "bytes")
			b.ReportMetric(float64(len(compressed)), "compressed-bytes")
		})
		b.Run(fmt.Sprint("decompress ", routes), func(b *testing.B) {
			for b.Loop() {
				if _, err := inflate(compressed); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
