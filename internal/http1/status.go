package http1

// Status codes of responses that are written with this package, or that determine how a response is parsed.
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

// firstFinalStatus is the lowest status code of a final response. Lower ones are of interim responses.
const firstFinalStatus = 200

// reasonPhrases maps status codes to the reason phrases of status lines. Other codes get an empty phrase, which is valid.
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
