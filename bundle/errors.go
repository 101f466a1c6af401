package bundle

import "fmt"

// FieldError is an invalid field of a bundle or an intent with its remedy.
type FieldError struct {
	Field  string
	Reason string
	Remedy string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %q: %s; %s", e.Field, e.Reason, e.Remedy)
}

// SignatureError means that a bundle or an intent lacks valid signatures.
type SignatureError struct {
	Reason string
	Remedy string
}

// Error implements error.
func (e *SignatureError) Error() string {
	return fmt.Sprintf("signature: %s; %s", e.Reason, e.Remedy)
}
