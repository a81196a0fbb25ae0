package http1

// Status codes that this package writes, or that bear on how a message is read.
const (
	StatusOK                          = 200
	StatusAccepted                    = 202
	StatusNoContent                   = 204
	StatusNotModified                 = 304
	StatusBadRequest                  = 400
	StatusNotFound                    = 404
	StatusMethodNotAllowed            = 405
	StatusRequestTimeout              = 408
	StatusConflict                    = 409
	StatusContentTooLarge             = 413
	StatusTooManyRequests             = 429
	StatusRequestHeaderFieldsTooLarge = 431
	StatusInternalServerError         = 500
	StatusNotImplemented              = 501
	StatusBadGateway                  = 502
	StatusServiceUnavailable          = 503
	StatusGatewayTimeout              = 504
	StatusHTTPVersionNotSupported     = 505
)

// Status codes below this one are interim: another response follows.
const firstFinalStatus = 200

// reasonPhrases has the reason phrases of status lines. Any other code has an empty one, which is valid.
var reasonPhrases = map[int]string{
	StatusOK:                          "OK",
	StatusAccepted:                    "Accepted",
	StatusNoContent:                   "No Content",
	StatusBadRequest:                  "Bad Request",
	StatusNotFound:                    "Not Found",
	StatusMethodNotAllowed:            "Method Not Allowed",
	StatusRequestTimeout:              "Request Timeout",
	StatusConflict:                    "Conflict",
	StatusContentTooLarge:             "Content Too Large",
	StatusTooManyRequests:             "Too Many Requests",
	StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	StatusInternalServerError:         "Internal Server Error",
	StatusNotImplemented:              "Not Implemented",
	StatusBadGateway:                  "Bad Gateway",
	StatusServiceUnavailable:          "Service Unavailable",
	StatusGatewayTimeout:              "Gateway Timeout",
	StatusHTTPVersionNotSupported:     "HTTP Version Not Supported",
}
