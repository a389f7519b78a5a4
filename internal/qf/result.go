package qf

// Certainty states whether a remote operation took effect.
type Certainty string

// The certainties. Unknown is never converted to another one without proof.
const (
	Done    Certainty = "Done"
	NotDone Certainty = "NotDone"
	Unknown Certainty = "Unknown"
)

// Result is the result of a remote operation that has a side effect.
type Result[T any] struct {
	// Certainty is Done exactly if the operation is proven to have taken effect.
	Certainty Certainty
	// Value is meaningful only if Certainty is Done.
	Value T
	// Err is non-nil exactly if Certainty is not Done.
	Err error
}

// DoneWith returns the result of an operation that is proven to have taken effect.
func DoneWith[T any](value T) Result[T] {
	return Result[T]{Certainty: Done, Value: value}
}

// NotDoneFor returns the result of an operation that is proven to have had no effect.
func NotDoneFor[T any](err error) Result[T] {
	return Result[T]{Certainty: NotDone, Err: err}
}

// UnknownFor returns the result of an operation that may or may not have taken effect.
func UnknownFor[T any](err error) Result[T] {
	return Result[T]{Certainty: Unknown, Err: err}
}
