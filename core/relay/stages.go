package relay

// This file checks the stages of a route.

import "fmt"

// CheckStages reports why a route's stages cannot run: one needs the results of a stage that does not exist, or of
// itself, directly or through others. They may be listed in any order.
func CheckStages(l []Stage) error {
	const (
		visiting = 1
		runs     = 2
	)
	state := make([]int, len(l))
	var visit func(n int) error
	visit = func(n int) error {
		state[n] = visiting
		for _, k := range l[n].After {
			switch {
			case k < 0 || k >= len(l):
				return fmt.Errorf("stage %d follows stage %d, which does not exist", n, k)
			case state[k] == visiting:
				return fmt.Errorf("stage %d follows stage %d, which follows it", n, k)
			case state[k] == 0:
				if err := visit(k); err != nil {
					return err
				}
			}
		}
		state[n] = runs
		return nil
	}
	for n := range l {
		if state[n] == runs {
			continue
		}
		if err := visit(n); err != nil {
			return err
		}
	}
	return nil
}
