package link

import "valvecove/internal/hotrestart"

// openCordonStore has cordoned workers kept in stateDir; without one nothing is kept.
func (l *Loop) openCordonStore(stateDir string) {
	if stateDir != "" {
		l.cordonStore = hotrestart.NewCordonStore(stateDir, operatorsMost, l.post)
	}
}
