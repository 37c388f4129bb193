// Package ratelimit keeps the requests to a back end within the rate limit that it declares:
// the requests a second that it takes from all processes together.
//
// The package does no I/O and reads no clock.
package ratelimit
