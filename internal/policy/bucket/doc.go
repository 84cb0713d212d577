// Package bucket is a token bucket whose rate and capacity may change at any time.
package bucket
