package bundle

import "fmt"

// FieldError reports an invalid field of a bundle or an intent and its remedy.
type FieldError struct {
	Field  string
	Reason string
	Remedy string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("field %q: %s; %s", e.Field, e.Reason, e.Remedy)
}

// SignatureError reports that a bundle or an intent lacks valid signatures.
type SignatureError struct {
	Reason string
	Remedy string
}

func (e *SignatureError) Error() string {
	return fmt.Sprintf("signature: %s; %s", e.Reason, e.Remedy)
}
