package qf

// Certainty says what is known of a remote operation's effect.
type Certainty string

// The three certainties. Unknown is never folded into another without proof.
const (
	Done    Certainty = "Done"
	NotDone Certainty = "NotDone"
	Unknown Certainty = "Unknown"
)

// Result is the answer of a remote operation that has an effect.
type Result[T any] struct {
	// Certainty is Done exactly if the operation is proven to have taken effect.
	Certainty Certainty
	// Value is meaningful only if Certainty is Done.
	Value T
	// Err is non-nil exactly if Certainty is not Done.
	Err error
}

// DoneWith returns a result whose effect is proven.
func DoneWith[T any](value T) Result[T] {
	return Result[T]{Certainty: Done, Value: value}
}

// NotDoneFor returns a result that is proven to have had no effect.
func NotDoneFor[T any](err error) Result[T] {
	return Result[T]{Certainty: NotDone, Err: err}
}

// UnknownFor returns a result whose effect can't be told.
func UnknownFor[T any](err error) Result[T] {
	return Result[T]{Certainty: Unknown, Err: err}
}
