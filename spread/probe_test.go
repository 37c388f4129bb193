package spread

import (
	"testing"

	"github.com/matryer/is"
)

func TestProbe(t *testing.T) {
	cases := []struct {
		name string
		play func(*Probe) bool
		want bool
	}{
		{"nothing new", func(p *Probe) bool { return p.Answered(7) }, false},
		{"an old answer", func(p *Probe) bool { return p.Answered(3) }, false},
		{"the wait has missed a change", func(p *Probe) bool { return p.Answered(8) }, true},
		{"the store was away", func(p *Probe) bool { p.Failed(); return p.Answered(7) }, true},
		{"and is there again", func(p *Probe) bool { p.Failed(); p.Answered(7); return p.Answered(7) }, false},
		{"an older reading does not go back", func(p *Probe) bool { p.Known(5); return p.Answered(6) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			probe := &Probe{}
			probe.Known(7)
			is.Equal(c.play(probe), c.want)
		})
	}
}
