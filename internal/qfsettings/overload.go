package qfsettings

import (
	"quetzalfront/internal/qf/coordination/qflimit"
	"quetzalfront/internal/qf/state/qfdocument"
)

// OverloadSettings bound the predicted time in an endpoint's queue, by class.
// Critical requests are bound by their deadline alone.
type OverloadSettings struct {
	InteractiveQueue qfdocument.Duration `validate:"gt=0"`
	BatchQueue       qfdocument.Duration `validate:"gt=0"`
}

// GuardConfig returns the configuration of admission.
func (s *Settings) GuardConfig() qflimit.GuardConfig {
	return qflimit.GuardConfig{
		InteractiveQueue: s.Overload.InteractiveQueue.Value(),
		BatchQueue:       s.Overload.BatchQueue.Value(),
		MaxInProgress:    s.Request.MaxInProgress,
	}
}
