package encoder

import (
	"net/http"

	"wigeonspindle.example/wigeonspindle"
)

var statusByCode = map[wigeonspindle.Code]int{
	wigeonspindle.CodeInvalid:     http.StatusBadRequest,
	wigeonspindle.CodeTooLarge:    http.StatusRequestEntityTooLarge,
	wigeonspindle.CodeExpired:     http.StatusGatewayTimeout,
	wigeonspindle.CodeOverloaded:  http.StatusTooManyRequests,
	wigeonspindle.CodeConflict:    http.StatusConflict,
	wigeonspindle.CodeDuplicate:   http.StatusConflict,
	wigeonspindle.CodeQuarantined: http.StatusUnprocessableEntity,
	wigeonspindle.CodeDenied:      http.StatusUnauthorized,
}

// HTTPStatus returns the HTTP status of a refusal: 503 unless its code has another one.
func HTTPStatus(refusal *wigeonspindle.Refusal) int {
	if status, ok := statusByCode[refusal.Code]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}
