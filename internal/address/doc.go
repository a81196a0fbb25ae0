// Package address decides which addresses may connect, and parses the PROXY headers in which trusted proxies pass the addresses
// of their clients. It does no I/O: it neither reads from connections nor closes them.
package address
